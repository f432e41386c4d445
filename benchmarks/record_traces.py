"""Write the traces of modelled sessions that the tests replay.

Run it again only after an intended change of the admission policy. It does not write
the stated outcomes that are stored next to the traces.
"""

import argparse
import random
from collections.abc import Callable
from pathlib import Path

from ibisspoke_policy.admission import Capacity
from ibisspoke_policy.admission_controller import UpstreamAdmissionController
from ibisspoke_policy.catalogue import Importance
from ibisspoke_policy.trace import TracedController, make_header
from ibisspoke_standins.modelled_upstream import ModelledUpstream

SERVICE_MS = 20.0
CAPACITY = Capacity(n_slots=4, n_connections=40)
CAPACITY_PER_S = 200.0

Session = Callable[[ModelledUpstream], None]


def _any_class(rng: random.Random) -> tuple[str, Importance]:
    return f"o{rng.randrange(4)}", rng.choice(list(Importance))


def surge(upstream: ModelledUpstream) -> None:
    upstream.offer_load(0.5 * CAPACITY_PER_S, 300.0, choose_source=_any_class)
    upstream.offer_load(3 * CAPACITY_PER_S, 700.0, seed=8, choose_source=_any_class)
    upstream.offer_load(0.5 * CAPACITY_PER_S, 400.0, seed=9, choose_source=_any_class)


def hang(upstream: ModelledUpstream) -> None:
    upstream.offer_load(0.5 * CAPACITY_PER_S, 400.0, choose_source=_any_class)
    upstream.is_hung = True
    upstream.offer_load(0.5 * CAPACITY_PER_S, 1_600.0, seed=8, choose_source=_any_class)
    upstream.is_hung = False
    upstream.offer_load(0.5 * CAPACITY_PER_S, 1_500.0, seed=9, choose_source=_any_class)


def drain(upstream: ModelledUpstream) -> None:
    upstream.offer_load(CAPACITY_PER_S, 300.0, choose_source=_any_class)
    upstream.controller.announce(
        CAPACITY._replace(draining=True), upstream.clock.now_ms()
    )
    upstream.offer_load(CAPACITY_PER_S, 200.0, seed=8, choose_source=_any_class)
    upstream.controller.announce(CAPACITY._replace(cold=True), upstream.clock.now_ms())
    upstream.offer_load(CAPACITY_PER_S, 400.0, seed=9, choose_source=_any_class)


SESSION_BY_NAME: dict[str, Session] = {"surge": surge, "hang": hang, "drain": drain}


def record(session: Session) -> list[bytes]:
    """Return the lines of one session."""
    lines: list[bytes] = []
    controller = TracedController(
        UpstreamAdmissionController(), make_header("gradient", 0.0), lines.append
    )
    controller.announce(CAPACITY, 0.0)
    session(ModelledUpstream(controller, lambda n_running: SERVICE_MS))
    return lines


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=Path)
    arguments = parser.parse_args()
    for name, session in SESSION_BY_NAME.items():
        path = arguments.directory / f"{name}.jsonl"
        path.write_bytes(b"\n".join(record(session)) + b"\n")


if __name__ == "__main__":
    main()
