"""Attempts on the upstream of this node, as parents of nested calls."""

import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ibisspoke_policy.early_shedding import CallChainLevels
from ibisspoke_policy.retry import Allowance
from ibisspoke_policy.table import Table

NestedListener = Callable[[int, int], None]


class Parent:
    """An attempt that runs on the upstream.

    :param number: id of the attempt in the executor.
    :param allowance: retries for its nested calls.
    """

    def __init__(self, number: int, call_id: str, allowance: Allowance) -> None:
        self.number = number
        self.call_id = call_id
        self.allowance = allowance
        self.is_ended = False
        self.n_failed_nested = 0
        self.called_ids: set[str] = set()
        self.cancel_callbacks: set[Callable[[], object]] = set()

    def __repr__(self) -> str:
        return f"Parent({self.number}, {len(self.cancel_callbacks)} nested)"


class EndedParent(NamedTuple):
    """Summary of an ended attempt.

    :param n_unused: retries that its nested calls did not use.
    :param nested_failed: whether one of its nested calls failed.
    """

    n_unused: int
    nested_failed: bool


class ParentTable:
    """Find the attempt that a nested call belongs to.

    :param node_id: identity of this node.
    :param chain: shed levels of calls, derived from their nested calls.
    """

    def __init__(self, node_id: str, chain: CallChainLevels) -> None:
        self.chain = chain
        self.on_nested: NestedListener = lambda number, n_change: None
        self._node_prefix = f"{node_id}~"
        self._prefix = f"{node_id}~{os.urandom(4).hex()}:"
        self._parent_by_id: Table[str, Parent] = Table("parents")

    def __repr__(self) -> str:
        return f"ParentTable({len(self._parent_by_id)} attempts)"

    def attempt_id(self, number: int) -> str:
        """Return the id of an attempt, unique across restarts of the node."""
        return self._prefix + str(number)

    def is_local(self, attempt_id: str) -> bool:
        """Return whether an attempt was made on this node."""
        return attempt_id.startswith(self._node_prefix)

    def find(self, attempt_id: str) -> Parent | None:
        """Return a running attempt of this node, or None."""
        return self._parent_by_id.get(attempt_id)

    def open(self, number: int, call_id: str, n_retries: int) -> None:
        """Record an attempt that starts on the upstream."""
        parent = Parent(number, call_id, Allowance(n_retries))
        self._parent_by_id.put(self.attempt_id(number), parent)

    def close(self, number: int, now_ms: float) -> EndedParent:
        """Remove an ended attempt and cancel its nested calls."""
        parent = self._parent_by_id.pop(self.attempt_id(number))
        if parent is None:
            return EndedParent(0, False)
        parent.is_ended = True
        self.chain.ended(parent.call_id, parent.called_ids, now_ms)
        for cancel in list(parent.cancel_callbacks):
            cancel()
        return EndedParent(parent.allowance.n_left, parent.n_failed_nested > 0)

    @contextmanager
    def track_nested(
        self, parent: Parent, call_id: str, cancel: Callable[[], object]
    ) -> Iterator[Allowance]:
        """Track one nested call and yield the retries allotted to it.

        :param cancel: called when the parent ends first.
        """
        n_allotted = parent.allowance.allot(is_parallel=bool(parent.cancel_callbacks))
        allowance = Allowance(n_allotted)
        parent.called_ids.add(call_id)
        parent.cancel_callbacks.add(cancel)
        self.on_nested(parent.number, 1)
        try:
            yield allowance
        finally:
            parent.cancel_callbacks.discard(cancel)
            parent.allowance.return_unused(n_allotted, allowance.n_left)
            self.on_nested(parent.number, -1)
