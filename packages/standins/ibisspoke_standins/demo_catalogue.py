"""Catalogue, VMs and traffic of the demonstration."""

from .callers import CallKind
from .demo_fleet import Place
from .guarantees import Allowance
from .upstream_state import UpstreamSettings

TRAFFIC_MS = 20_000.0
STUCK_NODE = "svealand-1-ordering"
TRUNCATING_NODE = "svealand-1-catalogue"
DRAINED_NODE = "gotaland-1-catalogue"
STOPPED_NODE = "svealand-2-imaging"

RATE_BY_ORGANISATION = {
    "karlstad": Allowance(200.0, 100.0),
    "glasbruket": Allowance(60.0, 30.0),
}
CHANGED_RATE_PER_S = 240.0
MAX_RETRIES = 2

PLACES = [
    Place("svealand", "svealand-1", "catalogue"),
    Place("svealand", "svealand-1", "ordering"),
    Place("svealand", "svealand-2", "ordering"),
    Place("svealand", "svealand-2", "imaging"),
    Place("gotaland", "gotaland-1", "catalogue"),
    Place("gotaland", "gotaland-1", "imaging"),
    Place("gotaland", "gotaland-2", "catalogue"),
    Place("gotaland", "gotaland-2", "ordering"),
]

UPSTREAM_BY_SERVICE = {
    "catalogue": UpstreamSettings("catalogue", 20, 100, service_ms=5.0),
    "ordering": UpstreamSettings("ordering", 10, 50, service_ms=10.0),
    "imaging": UpstreamSettings("imaging", 4, 20, service_ms=30.0),
}

LOOKUP = CallKind("lookup", "GET", "/catalogue/lids/7", 60.0)
ORDER = CallKind("order", "POST", "/ordering/orders", 15.0, True, 500)
UPLOAD = CallKind("upload", "POST", "/imaging/photographs", 2.0, False, 400_000)
OLD_TILL_LOOKUP = CallKind("lookup", "GET", "/catalogue/lids/9", 10.0)
NESTED_TARGET = "/catalogue/lids/11"

CALL_KINDS_BY_ORGANISATION = {
    "karlstad": [LOOKUP, ORDER, UPLOAD],
    "glasbruket": [
        LOOKUP._replace(rate_per_s=72.0),
        ORDER._replace(rate_per_s=15.0),
        UPLOAD._replace(rate_per_s=3.0),
    ],
}

_CALLS_TOML = f"""
[calls."catalogue.find-lid"]
service = "catalogue"
method = "GET"
path = "/lids/*"
owner = "catalogue-team"
importance = "normal"
idempotent = true
timeout_ms = 2000
max_retries = {MAX_RETRIES}

[calls."ordering.place-order"]
service = "ordering"
method = "POST"
path = "/orders"
owner = "ordering-team"
importance = "critical"
idempotent = false
timeout_ms = 4000
max_retries = {MAX_RETRIES}

[calls."imaging.submit-photograph"]
service = "imaging"
method = "POST"
path = "/photographs"
owner = "imaging-team"
importance = "low"
idempotent = false
timeout_ms = 6000
max_retries = {MAX_RETRIES}
max_body_bytes = 8388608
max_answer_bytes = 8388608
"""


def catalogue_text(karlstad_rate_per_s: float) -> str:
    """Return the catalogue in TOML."""
    data_centres = "".join(
        f"[data_centres.{name}]\nquota_slots = 1\n"
        for name in sorted({place.data_centre for place in PLACES})
    )
    organisations = ""
    for name, allowance in RATE_BY_ORGANISATION.items():
        rate = karlstad_rate_per_s if name == "karlstad" else allowance.rate_per_s
        organisations += (
            f"[organisations.{name}]\nrate_per_s = {rate}\nburst = {allowance.burst}\n"
        )
    return data_centres + organisations + _CALLS_TOML
