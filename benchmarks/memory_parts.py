"""What a node's memory is made of while a crowd of callers presses it.

Plays the crowds of ``tests/fleet/test_memory_bound.py`` and prints, for each process,
its resident memory at rest and at its peak, and the parts that were counted when all
parts together were largest, in MB. Run from the root:
``python benchmarks/memory_parts.py``.
"""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TESTS = "tests/fleet/test_memory_bound.py"


def main() -> int:
    """Print one line of JSON for each process of each crowd."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.jsonl"
        command = [sys.executable, "-m", "pytest", "-q", TESTS]
        environment = {**os.environ, "IBISSPOKE_MEMORY_REPORT": str(report)}
        played = subprocess.run(command, cwd=ROOT, env=environment, stdout=sys.stderr)
        for line in report.read_text().splitlines():
            print(json.dumps(json.loads(line)))
    return played.returncode


if __name__ == "__main__":
    sys.exit(main())
