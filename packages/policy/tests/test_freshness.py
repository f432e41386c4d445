import math

from ibisspoke_policy.freshness import ConfigFreshness


def test_without_a_proof_the_age_is_infinite():
    assert ConfigFreshness().age_ms(5, 1_000.0) == math.inf


def test_a_proof_is_as_old_as_the_start_of_its_read():
    freshness = ConfigFreshness()
    freshness.record_read(5, 1_000.0)
    assert freshness.age_ms(5, 4_000.0) == 3_000.0


def test_a_relayed_proof_ages_from_the_start_of_the_request():
    freshness = ConfigFreshness()
    freshness.record_relayed(5, asked_ms=2_000.0, age_ms=500.0)
    assert freshness.age_ms(5, 6_000.0) == 4_500.0


def test_a_proof_of_a_newer_version_proves_nothing_of_an_older_one():
    freshness = ConfigFreshness()
    freshness.record_read(5, 1_000.0)
    freshness.record_relayed(6, asked_ms=2_000.0, age_ms=0.0)
    assert freshness.age_ms(5, 3_000.0) == 2_000.0
    assert freshness.age_ms(6, 3_000.0) == 1_000.0


def test_an_older_proof_does_not_replace_a_younger_one():
    freshness = ConfigFreshness()
    freshness.record_read(5, 2_000.0)
    freshness.record_relayed(5, asked_ms=1_900.0, age_ms=100.0)
    assert freshness.age_ms(5, 3_000.0) == 1_000.0


def test_a_repeated_proof_of_a_newer_version_leaves_that_of_the_one_in_force():
    # Guards against refusing all keys from a second proof until its version is known.
    freshness = ConfigFreshness()
    freshness.record_read(5, 1_000.0)
    freshness.record_relayed(6, asked_ms=2_000.0, age_ms=0.0)
    freshness.record_relayed(6, asked_ms=2_300.0, age_ms=0.0)
    assert freshness.age_ms(5, 3_000.0) == 2_000.0
    assert freshness.age_ms(6, 3_000.0) == 700.0
