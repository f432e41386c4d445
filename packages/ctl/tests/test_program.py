"""Tests the program as a process against a stand-in of the platform."""

import asyncio
import json
import pathlib
import socket
import sys

import pytest

from ibisspoke_ctl.exit_code import ExitCode
from ibisspoke_standins.memory_store import Fault, FaultKind, MemoryStore
from ibisspoke_standins.platform import serve_platform

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples/lockbacken/catalogue.toml"


class Shell:
    """Runs the program against a platform at a local port."""

    def __init__(self, port):
        self._env = {
            "IBISSPOKE_PLATFORM": f"http://127.0.0.1:{port}",
            "IBISSPOKE_WHO": "karin",
        }

    async def run(self, *arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ibisspoke_ctl.main",
            *arguments,
            env=self._env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        stdout, stderr = await process.communicate()
        return process.returncode, stdout.decode(), stderr.decode()


@pytest.fixture
async def platform():
    memory = MemoryStore()
    async with serve_platform(memory) as port:
        yield memory, Shell(port)


async def test_first_commands_over_http(platform):
    memory, shell = platform
    memory.inject(Fault(FaultKind.ANSWER_LOST, n_requests=2))
    applied = await shell.run("apply", str(EXAMPLE), "--yes", "--why", "first")
    assert applied[0] == ExitCode.OK, applied
    assert memory.stats.n_commits_applied == 1
    arguments = ("give", "head-office", "--label", "desk", "--why", "new desk")
    code, output, _ = await shell.run("keys", *arguments, "--json")
    assert code == ExitCode.OK
    given = json.loads(output)
    assert given["version"] == 2
    code, output, _ = await shell.run("keys", "list", "--json")
    assert [key["digest"] for key in json.loads(output)["keys"]] == [given["id"]]
    code, output, _ = await shell.run("history", "--json")
    assert [record["version"] for record in json.loads(output)["versions"]] == [2, 1]


async def test_unreachable_platform_is_reported_with_its_remedy():
    with socket.socket() as closed_port:
        closed_port.bind(("127.0.0.1", 0))
        shell = Shell(closed_port.getsockname()[1])
        code, output, error = await shell.run("status")
    assert (code, output) == (ExitCode.UNAVAILABLE, "")
    assert "platform's address" in error


async def test_completion_lists_the_commands():
    shell = Shell(0)
    shell._env |= {
        "_IBISSPOKE_COMPLETE": "complete_bash",
        "COMP_WORDS": "ibisspoke keys w",
        "COMP_CWORD": "2",
    }
    _, output, error = await shell.run()
    assert output.split() == ["withdraw"], error
