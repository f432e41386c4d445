"""Documents that name tests name tests that exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
GUARANTEES = ROOT / "docs" / "GUARANTEES.md"


def _defined_tests():
    names = set()
    for path in ROOT.glob("packages/*/tests/test_*.py"):
        names.update(re.findall(r"^(?:async )?def (test_\w+)", path.read_text(), re.M))
    return names


def test_every_proof_of_a_guarantee_exists():
    named = set(re.findall(r"`(test_\w+)`", GUARANTEES.read_text()))
    assert named
    assert named - _defined_tests() == set()


def test_every_guarantee_names_a_proof():
    rows = [line for line in GUARANTEES.read_text().splitlines() if line[:2] == "| "]
    for row in rows[2:]:
        assert "`test_" in row, row
