"""Names of the headers that callers, nodes and upstreams exchange."""

from collections.abc import Callable
from typing import NamedTuple


class Dialect(NamedTuple):
    """Lower-case header names, filled in by the adapter of a platform.

    :param request_id: identifies one attempt of a caller; echoed by upstreams.
    :param deadline: milliseconds that the caller still waits.
    :param credentials: carries the key of an organisation.
    :param organisation: tells the upstream whose request it is.
    :param caller_service: tells the upstream which service called.
    :param expected_instance: only the upstream of that id may run the request.
    :param signature: marks an answer as the upstream's own.
    :param not_run: marks an answer to a request that did not run.
    :param parent_id: returns the id of the request that an upstream served when it sent
        the one of a given id; empty where ids do not tell.
    """

    request_id: bytes
    deadline: bytes
    credentials: bytes
    organisation: bytes
    caller_service: bytes
    expected_instance: bytes
    signature: bytes
    not_run: bytes
    parent_id: Callable[[bytes], bytes]

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Headers that a caller cannot set, and those that end here."""
        return frozenset(
            (
                self.deadline,
                self.credentials,
                self.organisation,
                self.caller_service,
                self.expected_instance,
            )
        )


HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
