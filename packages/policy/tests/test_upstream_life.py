from ibisspoke_policy.upstream_life import Announcement, UpstreamLife, UpstreamState


def beat(
    instance: str = "i-1", born_ms: int = 1_000, sequence: int = 1, draining=False
) -> Announcement:
    return Announcement(instance, born_ms, "orders", "a:1", 54, draining, sequence, 0.0)


def test_a_late_heartbeat_does_not_undo_draining():
    life = UpstreamLife()
    assert life.announce(beat(sequence=1))
    assert life.announce(beat(sequence=3, draining=True))
    assert not life.announce(beat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_draining_is_final_in_one_life():
    life = UpstreamLife()
    life.announce(beat(sequence=1, draining=True))
    life.announce(beat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_a_restart_under_the_same_id_counts_anew():
    life = UpstreamLife()
    life.announce(beat(sequence=9, draining=True))
    assert life.announce(beat(born_ms=2_000, sequence=1))
    assert life.state is UpstreamState.READY


def test_a_heartbeat_of_an_earlier_life_is_late():
    life = UpstreamLife()
    life.announce(beat("i-2", born_ms=2_000))
    assert not life.announce(beat("i-1", born_ms=1_000, sequence=50))
    assert life.latest is not None
    assert life.latest.instance == "i-2"


def test_nothing_counts_after_a_departure():
    life = UpstreamLife()
    life.announce(beat(sequence=1))
    assert life.depart("i-1", None)
    assert not life.announce(beat(sequence=2))
    assert life.state is UpstreamState.DRAINING


def test_a_departure_of_another_life_is_ignored():
    life = UpstreamLife()
    life.announce(beat(born_ms=2_000))
    assert not life.depart("i-1", 1_000)
    assert not life.depart("i-9", None)
    assert life.state is UpstreamState.READY


def test_a_lost_upstream_is_back_with_its_next_heartbeat():
    life = UpstreamLife()
    life.announce(beat(sequence=1))
    life.lose()
    assert life.state is UpstreamState.ABSENT
    life.announce(beat(sequence=2))
    assert life.state is UpstreamState.READY
