"""A short run of the process soak, and the seeds that have failed."""

import asyncio
import os
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SECONDS = 25
SEEDS = {
    5: "a run that never failed",
    31: "proofs of two newer versions ended the ticks with an error",
    32: "a change of the settings ended a node while it loaded",
    104: "a stop cut off a slow request that came late in it",
}


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_faults_from_outside(seed):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "benchmarks" / "process_soak.py"),
        f"--seconds={SECONDS}",
        f"--seed={seed}",
        f"--net=127.{100 + os.getpid() % 100}",  # others may run on this machine
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0, output.decode()
