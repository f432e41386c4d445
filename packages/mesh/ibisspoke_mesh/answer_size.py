"""Limits on the bytes of an answer, which a faulty server may send without end."""

MAX_HEAD_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # a node holds few such in its smallest memory
# Bytes of chunk framing for each byte of the body; a chunk of one byte has five.
MAX_FRAMING_FACTOR = 8


class AnswerSize:
    """Count the bytes received for one request.

    All bytes count, whichever message they belong to: interim responses, answers to
    other requests and trailers may come without end, too.
    """

    __slots__ = ("_n_body", "_n_received")

    def __init__(self) -> None:
        self._n_received = 0
        self._n_body = 0

    def __repr__(self) -> str:
        return f"AnswerSize({self._n_received} bytes, {self._n_body} of bodies)"

    def add_received(self, n_bytes: int) -> None:
        """Count received bytes, before they are parsed."""
        self._n_received += n_bytes

    def add_body(self, n_bytes: int) -> None:
        """Count bytes of them that belong to a body."""
        self._n_body += n_bytes

    def excess(self) -> str:
        """Return which limit was exceeded, or an empty string."""
        if self._n_received > MAX_ANSWER_BYTES:
            return f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
        n_other = self._n_received - self._n_body
        if n_other > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self._n_body:
            return f"the head of the answer exceeds {MAX_HEAD_BYTES} bytes"
        return ""
