"""Names of the HTTP headers that callers, nodes and upstreams exchange."""

from collections.abc import Callable
from typing import NamedTuple

from ibisspoke_policy.upstream_report import UpstreamReport


class Dialect(NamedTuple):
    """Lower-case header names of a platform, supplied by its adapter.

    :param request_id: identifies one attempt of a caller; echoed by upstreams.
    :param deadline: time until the caller's timeout, in milliseconds.
    :param credentials: contains the key of an organisation.
    :param organisation: names the requesting organisation to the upstream.
    :param caller_service: names the calling service to the upstream.
    :param expected_instance: id of the only upstream that may run the request.
    :param signature: marks a response as the upstream's own.
    :param not_run: marks a response to a request that did not run.
    :param load_report: tells the load of an upstream in its responses.
    :param decode_load: returns what the value of ``load_report`` says; None if it is
        not valid.
    :param parent_id: returns the id of the request that an upstream was serving when it
        sent the request with the given id; empty if the id does not show it.
    """

    request_id: bytes
    deadline: bytes
    credentials: bytes
    organisation: bytes
    caller_service: bytes
    expected_instance: bytes
    signature: bytes
    not_run: bytes
    load_report: bytes
    decode_load: Callable[[bytes], UpstreamReport | None]
    parent_id: Callable[[bytes], bytes]

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Headers that are not forwarded from a caller: set or consumed by nodes."""
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
