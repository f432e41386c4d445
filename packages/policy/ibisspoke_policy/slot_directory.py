"""Addresses of the holders of quota slots, as hints that each holder verifies."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from .quota_messages import SlotId
from .rendezvous import ranked

DIGEST_BYTES = 8


class SlotAddress(NamedTuple):
    """Control address of the holder of a slot.

    :param term: term in which the holder changed; the highest is the latest.
    :param host: IP address; empty if the slot is free.
    """

    slot: SlotId
    term: int
    host: str
    control_port: int


class SlotDirectory:
    """Keep the latest address of each slot."""

    def __init__(self) -> None:
        self._addresses_by_slot: dict[SlotId, SlotAddress] = {}
        self._changes: dict[SlotId, SlotAddress] = {}
        self._digest: str | None = None

    def __repr__(self) -> str:
        return f"SlotDirectory({len(self._addresses_by_slot)} slots)"

    @property
    def addresses(self) -> list[SlotAddress]:
        """All addresses, ordered by slot."""
        return sorted(self._addresses_by_slot.values())

    @property
    def digest(self) -> str:
        """Digest of all addresses; equal directories have equal digests."""
        if self._digest is None:
            text = repr([tuple(address) for address in self.addresses]).encode()
            self._digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
        return self._digest

    def get(self, slot: SlotId) -> SlotAddress | None:
        """Return the address of the holder of ``slot``, or None if it is free."""
        address = self._addresses_by_slot.get(slot)
        return address if address is not None and address.host else None

    def is_free(self, slot: SlotId) -> bool:
        """Return whether the last holder of ``slot`` has released it."""
        address = self._addresses_by_slot.get(slot)
        return address is not None and not address.host

    def merge(self, addresses: Iterable[SlotAddress]) -> bool:
        """Keep the addresses of later terms; return whether there were any."""
        changed = False
        for address in addresses:
            known = self._addresses_by_slot.get(address.slot)
            if known is None or known.term < address.term:
                self._addresses_by_slot[address.slot] = address
                self._changes[address.slot] = address
                changed = True
        if changed:
            self._digest = None
        return changed

    def take_changes(self) -> list[SlotAddress]:
        """Return the addresses that changed since the last call."""
        changes = list(self._changes.values())
        self._changes.clear()
        return changes

    def preferred(self, data_centre: str, name: str) -> list[SlotId]:
        """Return held slots, those of ``data_centre`` first.

        :param name: the node that draws tokens; its hash spreads nodes over the slots.
        """
        held = [slot for slot, row in self._addresses_by_slot.items() if row.host]
        near = {str(slot): slot for slot in held if slot.data_centre == data_centre}
        far = {str(slot): slot for slot in held if slot.data_centre != data_centre}
        return [
            by_name[text] for by_name in (near, far) for text in ranked(name, by_name)
        ]
