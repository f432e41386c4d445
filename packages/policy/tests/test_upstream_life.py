from ibisspoke_policy.upstream_life import (
    Announcement,
    Life,
    UpstreamLife,
    UpstreamState,
)

WALL_MS = 50_000.0


def heartbeat(
    instance: str = "i-1", born_ms: int = 1_000, sequence: int = 1, draining=False
) -> Announcement:
    return Announcement(instance, born_ms, "orders", "a:1", 54, draining, sequence, 0.0)


def life_without_history() -> UpstreamLife:
    """Return a life of a node without earlier departures."""
    life = UpstreamLife()
    life.recall(None)
    return life


def test_a_late_heartbeat_does_not_undo_draining():
    life = life_without_history()
    assert life.announce(heartbeat(sequence=1))
    assert life.announce(heartbeat(sequence=3, draining=True))
    assert not life.announce(heartbeat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_draining_is_final_in_one_life():
    life = life_without_history()
    life.announce(heartbeat(sequence=1, draining=True))
    life.announce(heartbeat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_a_restart_under_the_same_id_replaces_the_earlier_life():
    life = life_without_history()
    life.announce(heartbeat(sequence=9, draining=True))
    assert life.announce(heartbeat(born_ms=2_000, sequence=1))
    assert life.state is UpstreamState.READY


def test_a_heartbeat_of_an_earlier_life_is_late():
    life = life_without_history()
    life.announce(heartbeat("i-2", born_ms=2_000))
    assert not life.announce(heartbeat("i-1", born_ms=1_000, sequence=50))
    assert life.latest is not None
    assert life.latest.instance == "i-2"


def test_nothing_counts_after_a_departure():
    life = life_without_history()
    life.announce(heartbeat(sequence=1))
    assert life.depart("i-1", None, WALL_MS)
    assert not life.announce(heartbeat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_a_departure_of_another_life_is_ignored():
    life = life_without_history()
    life.announce(heartbeat(born_ms=2_000))
    assert not life.depart("i-1", 1_000, WALL_MS)
    assert not life.depart("i-9", None, WALL_MS)
    assert life.state is UpstreamState.READY


def test_a_lost_upstream_is_back_with_its_next_heartbeat():
    life = life_without_history()
    life.announce(heartbeat(sequence=1))
    life.lose()
    assert life.state is UpstreamState.ABSENT
    life.announce(heartbeat(sequence=2))
    assert life.state is UpstreamState.READY


def test_one_heartbeat_makes_nothing_ready_before_the_history_is_known():
    life = UpstreamLife()
    life.announce(heartbeat(sequence=7))
    assert life.state is UpstreamState.ABSENT
    life.announce(heartbeat(sequence=8))
    assert life.state is UpstreamState.READY


def test_a_departure_is_kept_after_the_process_that_acknowledged_it():
    life = UpstreamLife()
    life.recall(Life("i-1", 1_000))
    assert not life.announce(heartbeat(sequence=9))
    assert life.state is UpstreamState.ABSENT


def test_a_departure_recalled_late_ends_an_upstream_taken_for_ready():
    life = UpstreamLife()
    life.announce(heartbeat(sequence=7))
    life.announce(heartbeat(sequence=8))
    assert life.recall(Life("i-1", 1_000))
    assert life.state is UpstreamState.DRAINING


def test_an_upstream_started_after_a_departure_is_ready():
    life = UpstreamLife()
    life.recall(Life("i-1", 1_000))
    assert life.announce(heartbeat(born_ms=2_000))
    assert life.state is UpstreamState.READY


def test_an_early_heartbeat_makes_the_upstream_ready_once_the_history_is_known():
    life = UpstreamLife()
    life.announce(heartbeat(sequence=7))
    assert life.recall(None)
    assert life.state is UpstreamState.READY


def test_a_departure_of_an_unknown_life_holds_against_its_late_heartbeats():
    life = life_without_history()
    assert not life.depart("i-1", None, WALL_MS)
    assert not life.announce(heartbeat(sequence=9))
    assert life.announce(heartbeat(born_ms=int(WALL_MS) + 1))
    assert life.state is UpstreamState.READY
