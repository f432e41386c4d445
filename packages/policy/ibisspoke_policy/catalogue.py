"""The catalogue: calls, organisations and keys, one immutable snapshot per version."""

import hashlib
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

import msgspec

KEY_DIGEST_BYTES = 32


class Importance(IntEnum):
    """Class of importance of a call; the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class Call(NamedTuple):
    """One call that a service receives.

    :param id: unique name, such as ``ordering.place-order``.
    :param service: the service whose upstreams receive it.
    :param method: HTTP method.
    :param path: path below the service; a last segment ``*`` matches the rest.
    :param owner: the team responsible for the call.
    :param importance: calls of lower importance are shed first.
    :param idempotent: whether executing it twice has the same effect as once.
    :param is_open: whether it can be called without a key.
    :param timeout_ms: time limit of a request, retries included.
    :param max_body_bytes: size limit of the request body.
    :param max_answer_bytes: size limit of the response body.
    :param max_retries: limit on retries in the whole call tree of a request.
    :param open_rate_per_s: fleet-wide rate of an open call.
    :param open_burst: fleet-wide burst of an open call.
    """

    id: str
    service: str
    method: str
    path: str
    owner: str
    importance: Importance
    idempotent: bool
    is_open: bool = False
    timeout_ms: int = 5_000
    max_body_bytes: int = 65_536
    max_answer_bytes: int = 1_048_576
    max_retries: int = 2
    open_rate_per_s: float = 0.0
    open_burst: float = 0.0

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request for ``path`` below the service is this call."""
        if method != self.method:
            return False
        if self.path.endswith("/*"):
            return path.startswith(self.path[:-1])
        return path == self.path


class Organisation(NamedTuple):
    """An organisation with its fleet-wide rate and its limits during isolation.

    :param rate_per_s: root requests per second over all VMs together.
    :param burst: requests above the rate that are admitted at once.
    :param serve_when_isolated_s: how long a data centre that has lost contact with
        all others keeps serving the organisation with the keys that it knows.
    """

    id: str
    rate_per_s: float
    burst: float
    serve_when_isolated_s: int = 3_600


class Key(NamedTuple):
    """An API key of an organisation, stored only as a digest.

    :param digest: hexadecimal BLAKE2b digest of the key.
    :param label: name given by the operator.
    :param given_wall_ms: when it was issued.
    """

    digest: str
    organisation: str
    label: str
    given_wall_ms: int


class Catalogue(NamedTuple):
    """One version of the configuration of the fleet.

    :param version: grows by one with each accepted change; 0 before the first.
    :param n_slots_by_data_centre: quota slots of each data centre; the rate of an
        organisation is divided among all slots.
    """

    version: int
    calls_by_id: dict[str, Call]
    organisations_by_id: dict[str, Organisation]
    keys_by_digest: dict[str, Key]
    n_slots_by_data_centre: dict[str, int] = {}

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Return the organisation that ``key`` belongs to, or None."""
        record = self.keys_by_digest.get(digest_key(key))
        if record is None:
            return None
        return self.organisations_by_id.get(record.organisation)


EMPTY_CATALOGUE = Catalogue(0, {}, {}, {})


class RouteTable:
    """Look up the call of a request; exact paths take constant time.

    :param calls_by_id: the calls of one catalogue.
    """

    def __init__(self, calls_by_id: Mapping[str, Call]) -> None:
        self._exact_by_route: dict[tuple[str, str, str], Call] = {}
        self._prefix_by_service: dict[str, list[Call]] = {}
        for call in calls_by_id.values():
            self._add(call)
        for calls in self._prefix_by_service.values():
            calls.sort(key=lambda call: len(call.path), reverse=True)

    def __repr__(self) -> str:
        n_prefixes = sum(len(calls) for calls in self._prefix_by_service.values())
        return f"RouteTable({len(self._exact_by_route)} exact, {n_prefixes} prefixes)"

    def find(self, service: str, method: str, path: str) -> Call | None:
        """Return the call of ``path`` below ``service``, by the longest match."""
        exact = self._exact_by_route.get((service, method, path))
        if exact is not None:
            return exact
        for call in self._prefix_by_service.get(service, ()):
            if call.matches(method, path):
                return call
        return None

    def _add(self, call: Call) -> None:
        if call.path.endswith("/*"):
            self._prefix_by_service.setdefault(call.service, []).append(call)
        else:
            self._exact_by_route[call.service, call.method, call.path] = call


def digest_key(key: str) -> str:
    """Return the digest under which ``key`` is stored."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Return the snapshot of ``catalogue`` as JSON, equal for equal catalogues."""
    return msgspec.json.encode(catalogue, order="deterministic")


def decode_catalogue(data: bytes) -> Catalogue:
    """Return the catalogue in a snapshot.

    :raises msgspec.ValidationError: when ``data`` is not a snapshot.
    """
    return msgspec.json.decode(data, type=Catalogue)
