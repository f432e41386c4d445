"""Attempts at the upstream of this node as parents of nested calls."""

import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ibisspoke_policy.early_shedding import ChainLevels
from ibisspoke_policy.retry import Allowance
from ibisspoke_policy.table import Table

NestedListener = Callable[[int, int], None]


class Parent:
    """An attempt that the upstream holds.

    :param number: its number at the executor.
    :param allowance: retries for what is nested below it.
    """

    def __init__(self, number: int, call_id: str, allowance: Allowance) -> None:
        self.number = number
        self.call_id = call_id
        self.allowance = allowance
        self.is_ended = False
        self.n_failed_nested = 0
        self.made: set[str] = set()
        self.cancels: set[Callable[[], object]] = set()

    def __repr__(self) -> str:
        return f"Parent({self.number}, {len(self.cancels)} nested)"


class EndedParent(NamedTuple):
    """What remains of an attempt.

    :param n_unused: retries that were not spent below it.
    :param nested_failed: whether one of its nested calls failed.
    """

    n_unused: int
    nested_failed: bool


class ParentTable:
    """Find the attempt that a nested call belongs to.

    :param node_id: identity of this node.
    :param chain: shed levels of calls by what they lead to.
    """

    def __init__(self, node_id: str, chain: ChainLevels) -> None:
        self.chain = chain
        self.on_nested: NestedListener = lambda number, n_change: None
        self._node_prefix = f"{node_id}~"
        self._prefix = f"{node_id}~{os.urandom(4).hex()}:"
        self._parent_by_id: Table[str, Parent] = Table("parents")

    def __repr__(self) -> str:
        return f"ParentTable({len(self._parent_by_id)} attempts)"

    def attempt_id(self, number: int) -> str:
        """Return the id of an attempt, unique through restarts of the node."""
        return self._prefix + str(number)

    def is_local(self, attempt_id: str) -> bool:
        """Return whether an attempt was made at this node."""
        return attempt_id.startswith(self._node_prefix)

    def find(self, attempt_id: str) -> Parent | None:
        """Return a running attempt of this node, or None."""
        return self._parent_by_id.get(attempt_id)

    def open(self, number: int, call_id: str, n_retries: int) -> None:
        """Note an attempt that is handed to the upstream."""
        parent = Parent(number, call_id, Allowance(n_retries))
        self._parent_by_id.put(self.attempt_id(number), parent)

    def close(self, number: int, now_ms: float) -> EndedParent:
        """Cancel what is nested below an ended attempt."""
        parent = self._parent_by_id.pop(self.attempt_id(number))
        if parent is None:
            return EndedParent(0, False)
        parent.is_ended = True
        self.chain.ended(parent.call_id, parent.made, now_ms)
        for cancel in list(parent.cancels):
            cancel()
        return EndedParent(parent.allowance.n_left, parent.n_failed_nested > 0)

    @contextmanager
    def nested(
        self, parent: Parent, call_id: str, cancel: Callable[[], object]
    ) -> Iterator[Allowance]:
        """Own one nested call; give the retries lent to it.

        :param cancel: called when the attempt above ends first.
        """
        n_lent = parent.allowance.lend(is_parallel=bool(parent.cancels))
        allowance = Allowance(n_lent)
        parent.made.add(call_id)
        parent.cancels.add(cancel)
        self.on_nested(parent.number, 1)
        try:
            yield allowance
        finally:
            parent.cancels.discard(cancel)
            parent.allowance.give_back(n_lent, allowance.n_left)
            self.on_nested(parent.number, -1)
