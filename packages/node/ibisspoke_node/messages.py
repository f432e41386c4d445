"""Messages between entry, dispatcher and executor, on one node or across nodes."""

from collections.abc import Callable
from typing import NamedTuple

from result import Result

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.refusal import Refusal

Header = tuple[str, str]


class Attempt(NamedTuple):
    """One attempt of a request at one node.

    :param call_id: id of the call in the catalogue.
    :param target: path and query below the path of the service.
    :param remaining_ms: time until the deadline when the attempt was sent.
    :param idempotency_key: key by which the caller marks repeats; may be empty.
    """

    call_id: str
    service: str
    method: str
    target: str
    headers: list[Header]
    context: RequestContext
    remaining_ms: float
    idempotent: bool
    max_answer_bytes: int
    idempotency_key: str


class Answer(NamedTuple):
    """A complete answer of an upstream.

    :param level: admission level of its node; None if unknown.
    :param n_retries_unused: retries granted to the attempt for its nested calls and
        not used by them.
    """

    status: int
    reason: str
    headers: list[Header]
    body: bytes
    level: AdmissionLevel | None = None
    n_retries_unused: int = 0


class Refused(NamedTuple):
    """A refusal and the admission level of the node that gave it.

    :param level: None if the refusal does not come from the node of an upstream.
    :param n_retries_unused: retries granted to the attempt for its nested calls and
        not used by them.
    """

    refusal: Refusal
    level: AdmissionLevel | None = None
    n_retries_unused: int = 0


Outcome = Result[Answer, Refused]
OutcomeCallback = Callable[[Outcome], None]
