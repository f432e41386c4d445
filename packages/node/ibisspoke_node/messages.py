"""What entry, dispatch and executor hand to each other, also between nodes."""

from collections.abc import Callable
from typing import NamedTuple

from result import Result

from ibisspoke_policy.admission import AdmissionLevel
from ibisspoke_policy.context import RequestContext
from ibisspoke_policy.refusal import Refusal

Header = tuple[str, str]


class Attempt(NamedTuple):
    """One try of a request at one node.

    :param call_id: the call in the catalogue.
    :param target: path and query below the service.
    :param remaining_ms: time left when it was sent.
    :param idempotency_key: what the caller gave to recognise a repeat; or empty.
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
    """A whole answer of an upstream.

    :param level: admission level of its node, None where not known.
    :param n_retries_unused: retries lent to the attempt and not spent below it.
    """

    status: int
    reason: str
    headers: list[Header]
    body: bytes
    level: AdmissionLevel | None = None
    n_retries_unused: int = 0


class Refused(NamedTuple):
    """A refusal and the admission level of the node that gave it.

    :param level: None where the refusal comes from no node of an upstream.
    :param n_retries_unused: retries lent to the attempt and not spent below it.
    """

    refusal: Refusal
    level: AdmissionLevel | None = None
    n_retries_unused: int = 0


Outcome = Result[Answer, Refused]
Done = Callable[[Outcome], None]
