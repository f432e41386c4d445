"""Tests that documents name must exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
GUARANTEES = ROOT / "docs" / "GUARANTEES.md"


def _defined_tests():
    names = set()
    packages = ROOT.glob("packages/*/tests/test_*.py")
    for path in (*packages, *ROOT.glob("tests/*/test_*.py")):
        names.update(re.findall(r"^(?:async )?def (test_\w+)", path.read_text(), re.M))
    return names


def test_every_proof_of_a_guarantee_exists():
    named = set(re.findall(r"`(test_\w+)`", GUARANTEES.read_text()))
    assert named
    assert named - _defined_tests() == set()


def test_every_guarantee_names_a_proof():
    lines = GUARANTEES.read_text().splitlines()
    tables = [n for n, line in enumerate(lines) if line.startswith("| --- ")]
    assert len(tables) == 2
    headers = {n - 1 for n in tables}
    for number, line in enumerate(lines):
        if line.startswith("| ") and number not in {*tables, *headers}:
            assert "`test_" in line, line
