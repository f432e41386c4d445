"""Wire names of the platform are used only in the adapter and the stand-ins."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("policy", "storage", "mesh", "node", "ctl")
MAX_ADAPTER_LINES = 1_500  # limit set by the users
WIRE_NAMES = re.compile(
    r"x-(server-stamp|not-executed|expect-instance|tenant-id|caller-service"
    r"|deadline-ms|request-id|instance-id|server-load)"
    r"|rows-(tx|get|feed|parts)|blob-|Instances\.(Heartbeat|Leave)|heartbeatUrl"
    r"|apiKeys|trafficSplit|ratePerS|targetLatencyMs|IBISSPOKE_CONFIG|appAddr",
    re.IGNORECASE,
)


def test_no_name_of_the_wire_is_used_in_the_product():
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for package in PACKAGES
        for path in (ROOT / "packages" / package).rglob("*.py")
        if "tests" not in path.parts
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_adapter_stays_small():
    files = (ROOT / "platform").rglob("*.py")
    n_lines = sum(len(path.read_text().splitlines()) for path in files)
    assert n_lines < MAX_ADAPTER_LINES
