import pytest

from ibisspoke_policy.upstream_tracker import (
    MAX_DEPARTURES,
    Announcement,
    UpstreamProcess,
    UpstreamState,
    UpstreamTracker,
    merge_departures,
)

WALL_MS = 50_000.0


def heartbeat(
    instance: str = "i-1", start_ms: int = 1_000, sequence: int = 1, draining=False
) -> Announcement:
    return Announcement(
        instance, start_ms, "orders", "a:1", 54, draining, sequence, 0.0
    )


def upstream_without_history() -> UpstreamTracker:
    """Return the tracker of a node without earlier departures."""
    upstream = UpstreamTracker()
    upstream.restore_departures([])
    return upstream


def test_a_late_heartbeat_does_not_undo_draining():
    upstream = upstream_without_history()
    assert upstream.announce(heartbeat(sequence=1))
    assert upstream.announce(heartbeat(sequence=3, draining=True))
    assert not upstream.announce(heartbeat(sequence=2))
    assert upstream.state is UpstreamState.DRAINING


def test_a_heartbeat_of_another_service_is_not_that_of_the_same_process():
    """Guards against another writer's heartbeat that outdates all later ones."""
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=4))
    odd = heartbeat(sequence=100)._replace(service="unknown")
    assert not upstream.announce(odd)
    assert upstream.announce(heartbeat(sequence=5, draining=True))
    assert upstream.state is UpstreamState.DRAINING


def test_draining_is_final_in_one_life():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1, draining=True))
    upstream.announce(heartbeat(sequence=2))
    assert upstream.state is UpstreamState.DRAINING


def test_a_restart_under_the_same_id_replaces_the_earlier_life():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=9, draining=True))
    assert upstream.announce(heartbeat(start_ms=2_000, sequence=1))
    assert upstream.state is UpstreamState.READY


def test_a_heartbeat_of_an_earlier_life_is_late():
    upstream = upstream_without_history()
    upstream.announce(heartbeat("i-2", start_ms=2_000))
    assert not upstream.announce(heartbeat("i-1", start_ms=1_000, sequence=50))
    assert upstream.latest is not None
    assert upstream.latest.instance == "i-2"


def test_nothing_counts_after_a_departure():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1))
    assert upstream.record_departure("i-1", None, WALL_MS)
    assert not upstream.announce(heartbeat(sequence=2))
    assert upstream.state is UpstreamState.DRAINING


def test_a_departure_of_another_life_is_ignored():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(start_ms=2_000))
    assert not upstream.record_departure("i-1", 1_000, WALL_MS)
    assert not upstream.record_departure("i-9", None, WALL_MS)
    assert upstream.state is UpstreamState.READY


def test_a_lost_upstream_is_back_with_its_next_heartbeat():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1))
    upstream.mark_absent()
    assert upstream.state is UpstreamState.ABSENT
    upstream.announce(heartbeat(sequence=2))
    assert upstream.state is UpstreamState.READY


def test_no_number_of_late_heartbeats_makes_an_upstream_ready():
    """Guards against heartbeats that were sent before a departure (DRAIN)."""
    upstream = UpstreamTracker()
    for sequence in range(20):
        upstream.announce(heartbeat(sequence=sequence))
        assert upstream.state is UpstreamState.ABSENT
        assert not upstream.is_history_known


def test_a_heartbeat_sent_since_the_start_proves_that_the_upstream_has_not_left():
    upstream = UpstreamTracker()
    upstream.announce(heartbeat(sequence=7))
    upstream.announce(heartbeat(sequence=8), is_recent=True)
    assert upstream.is_history_known
    assert upstream.state is UpstreamState.READY


def test_any_heartbeat_is_enough_only_while_that_is_accepted():
    upstream = UpstreamTracker()
    upstream.announce(heartbeat(sequence=7))
    assert upstream.accept_unproven(True)
    assert upstream.state is UpstreamState.READY
    assert upstream.accept_unproven(False)
    assert upstream.state is UpstreamState.ABSENT
    upstream.announce(heartbeat(sequence=8))
    assert upstream.state is UpstreamState.ABSENT
    upstream.announce(heartbeat(sequence=9), is_recent=True)
    assert upstream.state is UpstreamState.READY
    assert not upstream.accept_unproven(False)


def test_a_draining_upstream_needs_no_proof():
    upstream = UpstreamTracker()
    upstream.announce(heartbeat(sequence=7, draining=True))
    assert upstream.state is UpstreamState.DRAINING
    assert not upstream.accept_unproven(True)


def test_a_departure_is_kept_after_the_process_that_acknowledged_it():
    upstream = UpstreamTracker()
    upstream.restore_departures([UpstreamProcess("i-1", 1_000)])
    assert not upstream.announce(heartbeat(sequence=9))
    assert upstream.state is UpstreamState.ABSENT


def test_a_departure_recalled_late_ends_an_upstream_taken_for_ready():
    upstream = UpstreamTracker()
    upstream.announce(heartbeat(sequence=7))
    upstream.accept_unproven(True)
    assert upstream.state is UpstreamState.READY
    assert upstream.restore_departures([UpstreamProcess("i-1", 1_000)])
    assert upstream.state is UpstreamState.DRAINING


def test_an_upstream_started_after_a_departure_is_ready():
    upstream = UpstreamTracker()
    upstream.restore_departures([UpstreamProcess("i-1", 1_000)])
    assert upstream.announce(heartbeat(start_ms=2_000))
    assert upstream.state is UpstreamState.READY


def test_an_early_heartbeat_makes_the_upstream_ready_once_the_history_is_known():
    upstream = UpstreamTracker()
    upstream.announce(heartbeat(sequence=7))
    assert upstream.restore_departures([])
    assert upstream.state is UpstreamState.READY


def test_a_departure_of_an_unknown_life_holds_against_its_late_heartbeats():
    upstream = upstream_without_history()
    assert not upstream.record_departure("i-1", None, WALL_MS)
    assert not upstream.announce(heartbeat(sequence=9))
    assert upstream.announce(heartbeat(start_ms=int(WALL_MS) + 1))
    assert upstream.state is UpstreamState.READY


def test_a_departure_before_any_heartbeat_is_kept_for_the_next_process():
    upstream = upstream_without_history()
    upstream.record_departure("i-1", 1_000, WALL_MS)
    assert upstream.departures == (UpstreamProcess("i-1", 1_000),)


def test_a_draining_upstream_has_departed_also_once_it_is_replaced():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1, draining=True))
    assert upstream.departures == (UpstreamProcess("i-1", 1_000),)
    upstream.announce(heartbeat("i-2", start_ms=2_000))
    assert upstream.departures == (UpstreamProcess("i-1", 1_000),)
    assert upstream.state is UpstreamState.READY


def test_a_departure_that_another_node_recalls_ends_a_ready_upstream():
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1))
    assert upstream.add_departures([UpstreamProcess("i-1", 1_000)])
    assert upstream.state is UpstreamState.DRAINING
    assert not upstream.add_departures([UpstreamProcess("i-1", 1_000)])


def test_copies_of_departures_merge_to_the_latest_ones():
    old, new = UpstreamProcess("i-1", 1_000), UpstreamProcess("i-1", 3_000)
    others = [UpstreamProcess(f"i-{n}", 1_000 * n) for n in range(2, 6)]
    merged = merge_departures([new], others, [old])
    assert merged == merge_departures([old], [new], others)
    assert new in merged
    assert old not in merged
    assert UpstreamProcess("i-2", 2_000) not in merged


# Guards against a heartbeat of another writer that shuts out a live upstream.
@pytest.mark.parametrize(
    "odd",
    [
        heartbeat("i-odd", start_ms=2_000),
        heartbeat("i-odd", start_ms=2**50),
        heartbeat("i-odd", start_ms=2_000, draining=True),
        heartbeat(sequence=10**9),
    ],
    ids=["later start", "ahead of the clock", "draining", "sequence"],
)
def test_a_live_upstream_returns_once_another_writer_is_in_doubt(odd):
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1))
    assert upstream.announce(odd)
    assert not upstream.announce(heartbeat(sequence=2))
    assert not upstream.announce(heartbeat(sequence=3), is_in_doubt=True)
    assert upstream.announce(heartbeat(sequence=4), is_in_doubt=True)
    assert upstream.latest == heartbeat(sequence=4)
    assert upstream.state is UpstreamState.READY


def test_an_upstream_that_lost_its_place_does_not_return_by_its_start():
    upstream = upstream_without_history()
    upstream.announce(heartbeat("i-odd", start_ms=2_000, sequence=1))
    for sequence in (3, 4):
        upstream.announce(heartbeat(sequence=sequence), is_in_doubt=True)
    assert not upstream.announce(heartbeat("i-odd", start_ms=2_000, sequence=2))
    assert upstream.announce(heartbeat("i-2", start_ms=3_000))


def test_a_single_late_heartbeat_does_not_take_the_place_of_a_silent_upstream():
    upstream = upstream_without_history()
    upstream.announce(heartbeat("i-2", start_ms=2_000))
    assert not upstream.announce(heartbeat("i-1", sequence=50), is_in_doubt=True)
    assert not upstream.announce(heartbeat("i-1", sequence=50), is_in_doubt=True)
    assert upstream.announce(heartbeat("i-2", start_ms=2_000, sequence=2))


def test_departures_of_unknown_upstreams_do_not_displace_that_of_the_latest():
    """Guards against a departure that is acknowledged and forgotten (DRAIN)."""
    upstream = upstream_without_history()
    upstream.announce(heartbeat(sequence=1))
    for number in range(MAX_DEPARTURES):
        upstream.record_departure(f"i-odd-{number}", None, WALL_MS)
    assert upstream.record_departure("i-1", 1_000, WALL_MS)
    assert upstream.state is UpstreamState.DRAINING
    assert UpstreamProcess("i-1", 1_000) in upstream.departures
    assert len(upstream.departures) == MAX_DEPARTURES
    assert not upstream.announce(heartbeat("i-1", sequence=0))
    upstream.announce(heartbeat(sequence=2))
    assert upstream.state is UpstreamState.DRAINING
