"""Configuration in force at this node, with proof that it is current."""

import zlib
from collections.abc import Callable

import msgspec
from result import Err, Result

from ibisspoke_policy.clock import Clock
from ibisspoke_policy.evacuations import EvacuationPosition
from ibisspoke_policy.freshness import ConfigFreshness
from ibisspoke_policy.route_table import RouteTable
from ibisspoke_policy.store_position import StorePosition

from .decision_log import DecisionLog
from .evacuation_state import EvacuationState
from .frames import ConfigReply, ConfigRequest
from .store import Changes

COMPRESSION_LEVEL = 1  # zlib level; shrinks 300 KB to a tenth in a few milliseconds
MAX_LOGGED_AGE_MS = 1e9  # of a proof; it is infinite if there is none
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024

Decoder = Callable[[bytes], Result[RouteTable, str]]


class ConfigState:
    """Holds the newest configuration received from the store or from other nodes.

    The evacuations come with it, as their rows are in the same table.

    :param key: key of the row that holds the configuration.
    :param decode: decodes the row's value to a route table, or returns an error.
    :param on_adopted: called with the route table after each change.
    :param on_unreadable: called when a document cannot be decoded.
    :param evacuations: None if the platform has no evacuations.
    """

    def __init__(
        self,
        key: str,
        decode: Decoder,
        clock: Clock,
        log: DecisionLog,
        on_adopted: Callable[[RouteTable], None],
        on_unreadable: Callable[[], None] = lambda: None,
        evacuations: EvacuationState | None = None,
    ) -> None:
        self.evacuations = evacuations or EvacuationState("", clock, log)
        self.table: RouteTable | None = None
        self.freshness = ConfigFreshness()
        self.key = key
        self.row_position = StorePosition()
        self._decode = decode
        self._clock = clock
        self._log = log
        self._on_adopted = on_adopted
        self._on_unreadable = on_unreadable
        self._document = b""
        self._reply: ConfigReply | None = None
        self._is_proven = False
        self._knows_earlier_eras = False
        self._adopted_ms = 0.0

    def __repr__(self) -> str:
        return f"ConfigState({self.table!r})"

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the evacuations are known."""
        return self.table is not None and self.evacuations.is_known

    @property
    def can_be_proven(self) -> bool:
        """Whether the store can prove that the configuration is current.

        It cannot towards a process that knows nothing of the time before it was
        restored from a copy, until the operator has had the time to write again what
        the copy lacks.
        """
        return self._may_believe(self.row_position.era)

    @property
    def known(self) -> tuple[int, EvacuationPosition]:
        """What nodes compare to find out which of them is behind."""
        return self.version, self.evacuations.position

    @property
    def row_version(self) -> int:
        """Version of the row that holds the document, in the era of its position."""
        return self.row_position.version

    @property
    def version(self) -> int:
        """The version in force; 0 before any is known."""
        return self.table.version if self.table else 0

    def apply_changes(
        self, changes: Changes, is_snapshot: bool, started_ms: float
    ) -> None:
        """Apply changes from the store.

        Only a snapshot of the whole table proves that the configuration is current: a
        watch may miss changes for a while. A snapshot of a store that was restored from
        a copy proves nothing before the version in force was seen in it, and nothing
        to a process that has started since, as long as :attr:`can_be_proven` is false.
        """
        self.evacuations.apply_changes(changes, is_snapshot, started_ms)
        is_read = True
        for row in changes.rows:
            if row.key == self.key:
                position = StorePosition(changes.era, row.version)
                is_read = self._adopt(row.value, position, "store")
        is_of_era = self.row_position.era == changes.era
        is_believed = self._may_believe(changes.era)
        if is_read and is_snapshot and is_of_era and is_believed and self.version:
            self.freshness.record_read(self.version, started_ms)

    def apply_reply(self, reply: ConfigReply) -> None:
        """Apply what another node sent: configuration, proof and evacuations."""
        if reply.evacuations is not None:
            self.evacuations.apply_report(reply.evacuations)
        position = StorePosition(reply.row_era, reply.row_version)
        if reply.version > self.version:
            self._apply_document(reply, position)
        elif reply.version == self.version:
            self._follow_row(position)
        self._knows_earlier_eras |= position.era < self.evacuations.era
        if reply.echo and reply.proof_age_ms is not None:
            self._knows_earlier_eras = True
            self.freshness.record_relayed(
                reply.version, reply.echo, max(0, reply.proof_age_ms)
            )

    def _apply_document(self, reply: ConfigReply, position: StorePosition) -> None:
        inflater = zlib.decompressobj()
        try:
            document = inflater.decompress(reply.compressed, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            self._log.write(
                "configuration unreadable",
                source="node",
                detail=str(error),
                in_force=self.version,
            )
            return
        self._adopt(document, position, "node")

    def reply(self) -> ConfigReply | None:
        """Return the configuration in force as a message for another node."""
        if self.table is None:
            return None
        if self._reply is None:
            compressed = zlib.compress(self._document, COMPRESSION_LEVEL)
            era, row_version = self.row_position
            self._reply = ConfigReply(
                self.version, row_version, compressed, row_era=era
            )
        return self._reply

    def reply_to(self, request: ConfigRequest) -> ConfigReply | None:
        """Return what a node lacks by its request, or None."""
        reply = self.reply()
        if reply is None:
            return None
        has_news = request.evacuations is not None and request.evacuations.lacks(
            self.evacuations.position
        )
        if reply.version <= request.version:
            if not has_news:
                return None
            reply = msgspec.structs.replace(reply, compressed=b"")
        return msgspec.structs.replace(reply, evacuations=self.evacuations.report())

    def record_proof(self, version: int, started_ms: float) -> None:
        """Record that ``version`` was the newest one at ``started_ms``."""
        if self.can_be_proven:
            self.freshness.record_read(version, started_ms)

    def proof_age_ms(self) -> float:
        """Return the age of the proof that the configuration is current."""
        return self.freshness.age_ms(self.version, self._clock.boot_ms())

    def in_force_ms(self) -> float:
        """Return for how long the version has been in force."""
        return self._clock.boot_ms() - self._adopted_ms

    def tick(self, max_age_ms: float) -> None:
        """Log when the proof becomes too old to accept keys, and when it is renewed.

        :param max_age_ms: maximum age of the proof at which keys are accepted.
        """
        age_ms = self.proof_age_ms()
        is_proven = age_ms < max_age_ms
        if is_proven == self._is_proven:
            return
        self._is_proven = is_proven
        event = "keys proven" if is_proven else "keys not proven"
        logged_ms = int(min(age_ms, MAX_LOGGED_AGE_MS))
        self._log.write(event, version=self.version, age_ms=logged_ms)

    def _adopt(self, document: bytes, position: StorePosition, source: str) -> bool:
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._on_unreadable()
            self._log.write(
                "configuration unreadable",
                source=source,
                key=self.key,
                detail=decoded.err_value,
                in_force=self.version,
            )
            return False
        table = decoded.ok_value
        if table.version >= self.version:
            self._follow_row(position)
        if table.version > self.version:
            self.table = table
            self._adopted_ms = self._clock.boot_ms()
            self._document = document
            self._log.write(
                "configuration adopted",
                version=table.version,
                source=source,
                n_routes=len(table.routes),
            )
            self._on_adopted(table)
        return True

    def _may_believe(self, era: int) -> bool:
        """Whether the store in an era lacks nothing that this process may not know."""
        if era == 0 or (era == self.evacuations.era and self.evacuations.is_settled):
            self._knows_earlier_eras = True
        return self._knows_earlier_eras

    def _follow_row(self, position: StorePosition) -> None:
        """Follow the row that holds the version in force to a later position."""
        if position <= self.row_position:
            return
        known = self.row_position
        self.row_position = position
        self._reply = None
        # A row of a copy has the version that it had before.
        if known.version and position.version != known.version:
            self.evacuations.record_rewrite()
