"""Handles one request of a caller and its answer."""

import logging
from http import HTTPStatus
from typing import Protocol

from result import Err, Ok
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from ibisspoke_policy.refusal import Ran, Refusal, RefusalKind, outcome_unknown

from ._link_protocol import out_of_memory
from .acceptance import Acceptance, Accepted
from .buffer_budget import BufferBudget
from .dispatch import Dispatcher, Request
from .eager_task import EagerTask
from .head_writer import BODILESS_STATUSES, write_answer
from .headers import IDEMPOTENCY_HEADER, to_upstream
from .messages import Answer
from .metrics import Metrics
from .problem import to_answer

_REASON_BY_STATUS = {status.value: status.phrase for status in HTTPStatus}
REQUEST_ID_HEADER = "Ibisspoke-Request-Id"
NO_START_LINE = RequestStartLine("", "", "")
NO_HEADERS = HTTPHeaders()
# A refused request with a longer body is answered before its body is received.
MAX_DISCARDED_BYTES = 65_536
IDLE_TIMEOUT_MS = 75_000
BODY_TIMEOUT_MS = 60_000

logger = logging.getLogger(__name__)


class ExchangeHost(Protocol):
    """The part of the entry that an exchange needs."""

    acceptance: Acceptance
    dispatcher: Dispatcher
    budget: BufferBudget
    metrics: Metrics
    n_open: int
    stopping: bool

    @property
    def now_ms(self) -> float:
        """Current monotonic time."""

    def signal_if_idle(self) -> None:
        """Check for the end of a drain after a request has ended."""


class Exchange(HTTPMessageDelegate):
    """One request and its answer.

    :param entry: the entry that received the request.
    :param now_ms: when the connection started to wait for the request.
    """

    def __init__(
        self, entry: ExchangeHost, connection: HTTP1Connection, now_ms: float
    ) -> None:
        self._entry = entry
        self._expires_ms: float | None = now_ms + IDLE_TIMEOUT_MS
        self._connection = connection
        self._accepted: Accepted | None = None
        self._refusal: Refusal | None = None
        self._start_line = NO_START_LINE
        self._headers = NO_HEADERS
        self._parts: list[bytes] = []
        self._n_bytes = 0
        self._request_id = ""
        self._task: EagerTask | None = None
        self._answered = False
        self._n_answer_bytes = 0
        self._open = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Check whether the request may run, before its body is received."""
        assert isinstance(start_line, RequestStartLine)
        self._open = True
        self._expires_ms = self._entry.now_ms + BODY_TIMEOUT_MS
        self._entry.n_open += 1
        self._start_line = start_line
        self._headers = headers
        checked = self._entry.acceptance.check(
            start_line.method, start_line.path, headers
        )
        if isinstance(checked, Err):
            self._refuse(checked.err_value)
        else:
            self._accepted = checked.ok_value
            self._request_id = checked.ok_value.context.request_id
        length = headers.get("Content-Length", "")
        if length.isdigit():
            self._check_length(int(length))

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body if the budget allows it."""
        if self._answered or self._refusal is not None:
            return
        self._check_length(self._n_bytes + len(chunk))
        if self._refusal is not None:
            return
        if not self._entry.budget.reserve(len(chunk)):
            self._release()
            self._refuse(out_of_memory(Ran.NOT_RUN))
            return
        self._n_bytes += len(chunk)
        self._parts.append(chunk)

    def finish(self) -> None:
        """Run or refuse the request, which is now complete."""
        self._expires_ms = None
        if self._answered:
            return
        if self._refusal is not None:
            self._send_answer(to_answer(self._refusal, self._request_id))
            return
        self._connection.set_close_callback(self._on_caller_disconnect)
        self._task = EagerTask(self._run_guarded())

    def on_connection_close(self) -> None:
        """Discard a request whose connection closed before it was complete."""
        self._end()

    def close_if_expired(self, now_ms: float) -> None:
        """Close the connection if the request did not arrive in time."""
        if self._expires_ms is not None and now_ms >= self._expires_ms:
            self._entry.metrics.count("caller_slow")
            self._connection.close()

    def release_answer(self) -> None:
        """Release the bytes of the answer: it was sent or the caller disconnected."""
        self._entry.budget.answers.release(self._n_answer_bytes)
        self._n_answer_bytes = 0

    async def _run_guarded(self) -> None:
        try:
            await self._run()
        except Exception:
            logger.exception("request failed", extra={"request": self._request_id})
            refusal = outcome_unknown("the node failed while it handled the request")
            if not self._answered:
                self._refuse_now(refusal)

    async def _run(self) -> None:
        accepted = self._accepted
        assert accepted is not None
        if accepted.quota_name:
            refusal = await self._entry.acceptance.acquire(accepted)
            if refusal is not None:
                self._refuse_now(refusal)
                return
        body = self._take_body()
        request = Request(
            accepted.call,
            accepted.context,
            accepted.target,
            to_upstream(self._headers.get_all()),
            self._headers.get(IDEMPOTENCY_HEADER, ""),
            body,
            accepted.deadline_ms,
        )
        outcome = await self._entry.dispatcher.run(request)
        if isinstance(outcome, Ok):
            self._send_answer(outcome.ok_value)
            return
        final_refusal = outcome.err_value.refusal
        self._entry.metrics.count(f"refused.{final_refusal.kind.value}")
        self._send_answer(to_answer(final_refusal, self._request_id))

    def _take_body(self) -> bytes:
        parts, self._parts = self._parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _check_length(self, n_bytes: int) -> None:
        accepted = self._accepted
        if accepted is None or n_bytes <= accepted.call.max_body_bytes:
            return
        refusal = _body_too_large(accepted.call.max_body_bytes)
        if n_bytes > MAX_DISCARDED_BYTES:
            self._refuse_now(refusal)
        else:
            self._refuse(refusal)

    def _refuse_now(self, refusal: Refusal) -> None:
        self._refuse(refusal)
        assert self._refusal is not None
        self._send_answer(to_answer(self._refusal, self._request_id))

    def _refuse(self, refusal: Refusal) -> None:
        if self._refusal is not None:
            return
        self._refusal = self._unknown_if_keyed(refusal)
        if not self._request_id:
            self._request_id = self._entry.acceptance.next_id()
        self._entry.metrics.count(f"refused.{refusal.kind.value}")

    def _unknown_if_keyed(self, refusal: Refusal) -> Refusal:
        """Mark a keyed request as unknown: an earlier one with its key may have run."""
        if not self._headers.get(IDEMPOTENCY_HEADER):
            return refusal
        return refusal._replace(ran=Ran.UNKNOWN)

    def _send_answer(self, answer: Answer) -> None:
        self._answered = True
        self._n_answer_bytes = len(answer.body)
        self._entry.budget.answers.hold(self._n_answer_bytes)
        self._expires_ms = self._entry.now_ms + BODY_TIMEOUT_MS
        headers = [*answer.headers, (REQUEST_ID_HEADER, self._request_id)]
        if answer.status not in BODILESS_STATUSES:
            headers.append(("Content-Length", str(len(answer.body))))
        if self._entry.stopping:
            headers.append(("Connection", "close"))
        reason = answer.reason or _REASON_BY_STATUS.get(answer.status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", answer.status, reason)
        self._entry.metrics.count(f"answered.{answer.status // 100}xx")
        try:
            write_answer(
                self._connection, self._start_line, start_line, headers, answer.body
            )
            self._connection.finish()
        except StreamClosedError:
            pass
        except ValueError:
            logger.exception("answer with a malformed header")
            self._connection.close()
        finally:
            self._end()

    def _on_caller_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._entry.metrics.count("caller_left")
        self._end()

    def _release(self) -> None:
        self._entry.budget.release(self._n_bytes)
        self._n_bytes = 0
        self._parts = []

    def _end(self) -> None:
        self._release()
        if self._open:
            self._open = False
            self._entry.n_open -= 1
            self._entry.signal_if_idle()


def _body_too_large(max_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        Ran.NOT_RUN,
        f"the body is larger than the {max_bytes} bytes that the call allows",
        "send a smaller body, or raise max_body_bytes of the call",
    )
