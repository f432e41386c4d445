"""Sites, their organisations, and the requests of the rate benchmark."""

import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ibisspoke_policy.catalogue import EMPTY_CATALOGUE, Catalogue, Organisation
from ibisspoke_policy.quota import TokenBucket
from ibisspoke_policy.quota_messages import Limit

N_SLOTS = 2
UTILISATION = 0.85
OVERLOAD_FACTOR = 6.0
PREFERRED_NODE_SHARE = 0.7
TOLERANCE_TOKENS = 1e-6
SEED = 7


class Site(NamedTuple):
    """A site with the rates of its example catalogue.

    :param near_ms: round-trip time between data centres of one region.
    :param far_ms: round-trip time between regions.
    :param rates_per_s: rate of each organisation, as in the example catalogue.
    :param bursts: burst of each organisation.
    """

    name: str
    data_centres: tuple[str, ...]
    regions: tuple[str, ...]
    n_nodes_each: int
    near_ms: float
    far_ms: float
    rates_per_s: tuple[float, ...]
    bursts: tuple[float, ...]

    @property
    def limits(self) -> dict[str, Limit]:
        """Limits by organisation."""
        pairs = zip(self.rates_per_s, self.bursts, strict=True)
        return {f"org-{n}": Limit(*pair) for n, pair in enumerate(pairs)}

    @property
    def n_nodes(self) -> int:
        """Number of nodes of the site."""
        return len(self.data_centres) * self.n_nodes_each

    @property
    def region_by_data_centre(self) -> dict[str, str]:
        """Region of each data centre."""
        return dict(zip(self.data_centres, self.regions, strict=True))

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue with the organisations of the site."""
        organisations = {
            name: Organisation(name, limit.rate_per_s, limit.burst)
            for name, limit in self.limits.items()
        }
        return EMPTY_CATALOGUE._replace(
            organisations_by_id=organisations,
            n_slots_by_data_centre=dict.fromkeys(self.data_centres, N_SLOTS),
        )


LOCKBACKEN = Site(
    "lockbacken",
    ("svea-1", "svea-2", "gota-1", "gota-2"),
    ("svealand", "svealand", "gotaland", "gotaland"),
    4,
    2.0,
    40.0,
    (800.0, 600.0, 400.0, 80.0, 80.0, 60.0, 30.0, 20.0),
    (400.0, 300.0, 200.0, 60.0, 60.0, 40.0, 30.0, 10.0),
)
HARMATTAN = Site(
    "harmattan",
    ("lagos-1", "lagos-2", "abuja-1", "abuja-2"),
    ("lagos", "lagos", "abuja", "abuja"),
    4,
    3.0,
    40.0,
    (900.0, 700.0, 300.0, 80.0, 60.0, 60.0, 30.0, 20.0),
    (500.0, 400.0, 200.0, 60.0, 40.0, 60.0, 20.0, 10.0),
)
SITE_BY_NAME = {site.name: site for site in (LOCKBACKEN, HARMATTAN)}


class Arrival(NamedTuple):
    """One request.

    :param node: number of the node that receives it.
    """

    at_ms: float
    organisation: str
    node: int


def arrivals_of(site: Site, duration_s: float, overloaded: bool) -> list[Arrival]:
    """Return Poisson arrivals; each organisation sends most of them to one node."""
    rng = random.Random(SEED)
    arrivals = []
    for number, (name, limit) in enumerate(site.limits.items()):
        load_factor = OVERLOAD_FACTOR if overloaded and number == 0 else UTILISATION
        offered_per_s = limit.rate_per_s * load_factor
        preferred_node = rng.randrange(site.n_nodes)
        at_s = rng.expovariate(offered_per_s)
        while at_s < duration_s:
            at_preferred_node = rng.random() < PREFERRED_NODE_SHARE
            node = preferred_node if at_preferred_node else rng.randrange(site.n_nodes)
            arrivals.append(Arrival(at_s * 1000.0, name, node))
            at_s += rng.expovariate(offered_per_s)
    return sorted(arrivals)


def ideal_admitted(
    arrivals: Sequence[Arrival], limits: Mapping[str, Limit]
) -> dict[str, int]:
    """Return the admissions of one bucket for the whole fleet, by organisation."""
    buckets = {name: full_bucket(limit) for name, limit in limits.items()}
    admitted = dict.fromkeys(limits, 0)
    for arrival in arrivals:
        is_admitted = buckets[arrival.organisation].take(1.0, arrival.at_ms)
        admitted[arrival.organisation] += is_admitted
    return admitted


def over_admitted(admitted_ms: Sequence[float], limit: Limit) -> int:
    """Return how many requests exceeded burst + rate x window in any window."""
    burst = limit.burst + TOLERANCE_TOKENS
    bucket = TokenBucket(limit.rate_per_s, burst, 0.0, burst)
    return sum(
        not bucket.take(1.0 - TOLERANCE_TOKENS, at) for at in sorted(admitted_ms)
    )


def full_bucket(limit: Limit) -> TokenBucket:
    """Return a bucket that is full."""
    return TokenBucket(limit.rate_per_s, limit.burst, 0.0, limit.burst)
