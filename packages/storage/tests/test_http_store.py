import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager

import pytest
from tornado.httpclient import AsyncHTTPClient

from ibisspoke_standins.memory_store import Fault, FaultKind, FaultScope, MemoryStore
from ibisspoke_standins.platform import serve_platform
from ibisspoke_storage import http_store
from ibisspoke_storage.http_store import HttpStore
from ibisspoke_storage.store import Check, StoreErrorKind, TableRow, Write


@pytest.fixture
async def served_store():
    memory = MemoryStore()
    async with serve_platform(memory) as port:
        store = HttpStore(f"http://127.0.0.1:{port}")
        yield memory, store
        store.close()


async def test_transaction_applies_whole_or_not_at_all(served_store):
    memory, store = served_store
    rows = (await store.commit([Check("a/1", 0)], [Write("a/1", b"\x00x")])).unwrap()
    assert rows == [(await store.read("a/1")).unwrap()]
    assert rows[0].value == b"\x00x"
    writes = [Write("a/1", None), Write("a/2", b"y")]
    error = (await store.commit([Check("a/1", 0)], writes)).unwrap_err()
    assert error.kind is StoreErrorKind.CONFLICT
    assert (await store.read("a/2")).unwrap() == TableRow("a/2", 0, b"")
    assert (await store.commit([Check("a/1", rows[0].version)], writes)).is_ok()
    assert (await store.read("a/1")).unwrap().version == 0


async def test_scan_reads_all_pages_in_order(served_store, monkeypatch):
    _, store = served_store
    monkeypatch.setattr(http_store, "MAX_SCAN_ROWS", 3)
    keys = [f"node/å {n:02d}?" for n in range(10)]
    await store.commit([], [Write(key, b"1") for key in [*reversed(keys), "other"]])
    rows = (await store.scan("node/")).unwrap()
    assert [row.key for row in rows] == keys


async def test_objects_never_change(served_store):
    _, store = served_store
    data = os.urandom(300_000)
    assert (await store.put("config/snapshot/1", data)).is_ok()
    assert (await store.put("config/snapshot/1", data)).is_ok()
    assert (await store.get("config/snapshot/1")).unwrap() == data
    changed = (await store.put("config/snapshot/1", b"x")).unwrap_err()
    assert changed.kind is StoreErrorKind.INVALID
    assert (await store.get("2")).unwrap_err().kind is StoreErrorKind.NOT_FOUND


async def test_lost_answer_of_a_write_is_unknown_and_has_taken_effect(served_store):
    memory, store = served_store
    memory.inject(Fault(FaultKind.ANSWER_LOST, n_requests=2))
    error = (await store.commit([], [Write("a", b"1")])).unwrap_err()
    assert error.kind is StoreErrorKind.UNKNOWN
    assert (await store.put("o", b"1")).unwrap_err().kind is StoreErrorKind.UNKNOWN
    assert (await store.read("a")).unwrap().value == b"1"
    assert (await store.get("o")).unwrap() == b"1"


async def test_store_that_is_down_refuses_without_effect(served_store):
    memory, store = served_store
    memory.inject(Fault(FaultKind.DOWN, n_requests=2))
    commit = (await store.commit([], [Write("a", b"1")])).unwrap_err()
    assert commit.kind is StoreErrorKind.UNAVAILABLE
    assert (await store.read("a")).unwrap_err().kind is StoreErrorKind.UNAVAILABLE
    assert (await store.read("a")).unwrap().version == 0


async def test_slow_store_times_out_and_writes_are_unknown():
    memory = MemoryStore()
    memory.inject(Fault(FaultKind.SLOW, delay_ms=3_600_000))
    async with serve_platform(memory) as port:
        store = HttpStore(f"http://127.0.0.1:{port}", timeout_ms=30)
        assert (await store.read("a")).unwrap_err().kind is StoreErrorKind.UNAVAILABLE
        error = (await store.commit([], [Write("a", b"1")])).unwrap_err()
        assert error.kind is StoreErrorKind.UNKNOWN
        assert "read back" in error.remedy
        store.close()


async def test_refused_connection_never_ran_the_write():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        store = HttpStore(f"http://127.0.0.1:{unused.getsockname()[1]}")
        error = (await store.commit([], [Write("a", b"1")])).unwrap_err()
    assert error.kind is StoreErrorKind.UNAVAILABLE
    assert "address" in error.remedy


async def test_faults_by_time_and_scope_end():
    memory = MemoryStore()
    memory.inject(Fault(FaultKind.DOWN, FaultScope.WRITES, n_requests=1))
    assert (await memory.read("a")).is_ok()
    assert (await memory.commit([], [])).is_err()
    assert (await memory.commit([], [])).is_ok()
    memory.inject(Fault(FaultKind.DOWN, for_ms=0.0))
    assert (await memory.read("a")).is_ok()


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/commit", b"[1"),
        ("/commit", b'{"checks": []}'),
        ("/commit", b'{"checks": [], "writes": [{"key": "a", "value": "?"}]}'),
        ("/faults", b"{}"),
        ("/faults", b'{"kind": "tired"}'),
        ("/rows?limit=many", None),
        ("/rows?limit=0", None),
    ],
)
async def test_malformed_messages_are_refused_with_a_remedy(served_store, path, body):
    memory, store = served_store
    method = "GET" if body is None else "POST"
    response = await AsyncHTTPClient().fetch(
        store._url + path, method=method, body=body, raise_error=False
    )
    assert response.code == 400
    assert json.loads(response.body)["remedy"]
    assert memory.stats.n_commits_applied == 0


@contextmanager
def running_platform():
    command = [sys.executable, "-m", "ibisspoke_standins.platform", "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        yield json.loads(process.stdout.readline())["port"]
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        process.stdout.close()


async def test_runnable_stand_in_prints_its_port_and_counts_requests():
    with running_platform() as port:
        url = f"http://127.0.0.1:{port}"
        store = HttpStore(url)
        client = AsyncHTTPClient()
        fault = json.dumps({"kind": "down", "n_requests": 1})
        await client.fetch(f"{url}/faults", method="POST", body=fault)
        assert (await store.read("a")).is_err()
        assert (await store.commit([], [Write("a", b"1")])).is_ok()
        stats = json.loads((await client.fetch(f"{url}/stats")).body)
        assert stats == {"n_reads": 1, "n_writes": 1, "n_commits_applied": 1}
        store.close()
