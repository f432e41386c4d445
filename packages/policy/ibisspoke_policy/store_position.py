"""Positions in the history of the store, which may be restored from a copy."""

from collections.abc import Callable
from typing import NamedTuple

# The era rises by one each time; a garbled one must not lock out the store for good.
MAX_ERA = 2**31


class StorePosition(NamedTuple):
    """A position in the history of the store, ordered by era and then by version.

    :param era: rises each time the store is restored from a copy; versions are then
        issued again.
    """

    era: int = 0
    version: int = 0


class StoreEra:
    """The highest era of the store that this node has heard of.

    :ivar on_rise: called with the new era when it rises.
    :ivar on_fall: called with the era of an answer that is lower than the known one.
    """

    def __init__(self) -> None:
        self.value = 0
        self.on_rise: list[Callable[[int], None]] = []
        self.on_fall: list[Callable[[int], None]] = []

    def __repr__(self) -> str:
        return f"StoreEra({self.value})"

    def observe(self, era: int) -> bool:
        """Take the era of an answer of the store.

        :returns: False if the answer comes from another, older store.
        """
        if era < self.value:
            for notify in self.on_fall:
                notify(era)
            return False
        self.learn(era)
        return True

    def learn(self, era: int) -> None:
        """Take an era that another node knows, which may be outdated."""
        if not self.value < era <= MAX_ERA:
            return
        self.value = era
        for notify in self.on_rise:
            notify(era)
