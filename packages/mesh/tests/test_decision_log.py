import json
import logging
import os

import pytest

from ibisspoke_mesh.decision_log import (
    BURST_LINES,
    LINES_PER_S,
    SUMMARY_INTERVAL_MS,
    DecisionLog,
    PipeHandler,
    configure_logging,
)
from ibisspoke_policy.clock import ManualClock


@pytest.fixture(autouse=True)
def _info_level(caplog):
    caplog.set_level(logging.INFO, "ibisspoke")


def test_each_kind_has_a_rate_and_the_rest_is_counted(caplog):
    clock = ManualClock()
    log = DecisionLog(clock)
    for _ in range(100):
        log.write("refused", request="a")
    log.write("sent again", request="b")
    names = [record.message for record in caplog.records]
    assert names.count("refused") == BURST_LINES
    assert names.count("sent again") == 1
    clock.advance(SUMMARY_INTERVAL_MS)
    log.tick()
    assert caplog.records[-1].message == "lines left out"
    assert caplog.records[-1].n_by_event == {"refused": 100 - BURST_LINES}


def test_the_rate_recovers_with_time(caplog):
    clock = ManualClock()
    log = DecisionLog(clock)
    for _ in range(100):
        log.write("refused")
    clock.advance(1_000.0)
    for _ in range(100):
        log.write("refused")
    assert len(caplog.records) == BURST_LINES + LINES_PER_S


def test_a_full_pipe_loses_lines_and_blocks_nobody():
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    record = logging.LogRecord("x", logging.INFO, "", 0, "y" * 1_000, None, None)
    for _ in range(200):
        handler.emit(record)
    assert handler.n_lost > 0
    os.close(reader)
    os.close(writer)


def test_lines_are_json_with_the_node(capfd):
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    try:
        configure_logging("vm-1")
        logging.getLogger("ibisspoke").info("node started", extra={"service": "shop"})
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    line = json.loads(capfd.readouterr().out.splitlines()[-1])
    assert line == {
        "level": "INFO",
        "event": "node started",
        "node": "vm-1",
        "service": "shop",
    }
