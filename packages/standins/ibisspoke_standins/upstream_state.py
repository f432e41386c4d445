"""Recorded requests and active faults of a stand-in upstream."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple, TypedDict

from ibisspoke_policy.clock import Clock

NestedCall = Callable[[str, str], Awaitable[bool]]


class UpstreamSettings(NamedTuple):
    """Settings of a stand-in upstream.

    :param service_ms: execution time of one request.
    :param cold_ms: how long after a start requests run slower.
    :param cold_factor: factor on ``service_ms`` during that time.
    """

    service: str
    n_slots: int = 50
    n_connections: int = 400
    service_ms: float = 1.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0


class FaultsMessage(TypedDict, total=False):
    """Body of ``POST /_faults``; an omitted fault is switched off."""

    stuck: bool
    extra_ms: float
    draining: bool
    lying_health: bool
    cut_answers: bool
    restart: bool


class UpstreamState:
    """Executions and faults of one stand-in upstream."""

    def __init__(self, settings: UpstreamSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or Clock()
        self.slots = asyncio.Semaphore(settings.n_slots)
        self.n_runs_by_request: Counter[str] = Counter()
        self.run_times_ms: list[float] = []
        self.seen_headers: list[dict[str, str]] = []
        self.can_progress = asyncio.Event()
        self.can_progress.set()
        self.extra_ms = 0.0
        self.draining = False
        self.lying_health = False
        self.cut_answers = False
        self.n_open_requests = 0
        self.n_cancelled = 0
        self.n_shed = 0
        self.nested_call: NestedCall | None = None
        self._started_ms = self.clock.now_ms()

    def __repr__(self) -> str:
        n_runs = len(self.run_times_ms)
        return f"UpstreamState({self.settings.service!r}, {n_runs} runs)"

    @property
    def is_full(self) -> bool:
        """Whether the number of open requests has reached ``n_connections``."""
        return self.n_open_requests >= self.settings.n_connections

    @property
    def is_healthy(self) -> bool:
        """Health as reported by ``/_health``; always true under ``lying_health``."""
        return self.lying_health or self.can_progress.is_set()

    @property
    def load(self) -> float:
        """Load as reported by ``/_health``; always 0 under ``lying_health``."""
        if self.lying_health:
            return 0.0
        return min(1.0, self.n_open_requests / self.settings.n_slots)

    @property
    def service_ms(self) -> float:
        """Current execution time of one request, without waiting for a slot."""
        is_cold = self.clock.now_ms() - self._started_ms < self.settings.cold_ms
        factor = self.settings.cold_factor if is_cold else 1.0
        return self.settings.service_ms * factor + self.extra_ms

    def set_faults(self, faults: FaultsMessage) -> None:
        """Activate exactly these faults and end all others."""
        self.extra_ms = faults.get("extra_ms", 0.0)
        self.draining = faults.get("draining", False)
        self.lying_health = faults.get("lying_health", False)
        self.cut_answers = faults.get("cut_answers", False)
        if faults.get("restart", False):
            self._started_ms = self.clock.now_ms()
        if faults.get("stuck", False):
            self.can_progress.clear()
        else:
            self.can_progress.set()

    @asynccontextmanager
    async def execution(self, number: str) -> AsyncIterator[None]:
        """Hold a slot; the request counts as run once it has obtained one."""
        self.n_open_requests += 1
        try:
            async with self.slots:
                self.n_runs_by_request[number] += 1
                self.run_times_ms.append(self.clock.now_ms())
                await self.can_progress.wait()
                yield
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise
        finally:
            self.n_open_requests -= 1
