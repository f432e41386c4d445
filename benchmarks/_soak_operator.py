"""The operator of the soak: changes of the configuration and withdrawals of keys."""

import random

from _soak_processes import now_ms
from fleet_harness import document, route

from ibisspoke_adapter.configuration import CONFIG_KEY, CONFIG_TABLE
from ibisspoke_standins.fleet_store import FleetStore

KEYS = tuple(f"key-{number}" for number in range(1, 7))
LASTING_KEY = KEYS[0]
REPORT_TIMEOUT_MS = 5_000  # nearly as long as a stop may last


class Operator:
    """Writes configurations to the store, and remembers what they took away.

    :ivar withdrawn_ms_by_key: when the withdrawal of a key was acknowledged.
    :ivar departed_ms_by_instance: when the departure of an upstream was acknowledged.
    """

    def __init__(self, store: FleetStore) -> None:
        self.store = store
        self.version = 0
        self.withdrawn_ms_by_key: dict[str, float] = {}
        self.departed_ms_by_instance: dict[str, float] = {}
        self._n_routes = 0

    def __repr__(self) -> str:
        return f"Operator(version={self.version})"

    async def change(self, n_routes: int = 0) -> None:
        """Write a new version.

        :param n_routes: routes to add, which stay in later versions.
        """
        self._n_routes = max(self._n_routes, n_routes)
        self.version += 1
        keys = [key for key in KEYS if key not in self.withdrawn_ms_by_key]
        routes = [
            route("lookup", "safe"),
            route("order", "non_idempotent"),
            route("report", "non_idempotent", timeoutMs=REPORT_TIMEOUT_MS),
        ]
        routes += [route(f"idle-{number}", "safe") for number in range(self._n_routes)]
        tenants = [{"name": "acme", "apiKeys": keys, "priority": 1}]
        changed = document(self.version, routes=routes, tenants=tenants)
        await self.store.put(CONFIG_TABLE, CONFIG_KEY, changed)

    async def restore(self) -> None:
        """Restore the store from its copy, and write again what the copy may lack."""
        await self.store.restore_copy()
        await self.change()

    async def withdraw_key(self, rng: random.Random) -> None:
        """Withdraw one of the keys that are left, but the lasting one."""
        left = [key for key in KEYS[1:] if key not in self.withdrawn_ms_by_key]
        if not left:
            return
        key = rng.choice(left)
        self.withdrawn_ms_by_key[key] = float("inf")
        await self.change()
        self.withdrawn_ms_by_key[key] = now_ms()
