"""Modules that the node must not import, in order to limit its memory."""

import subprocess
import sys

import pytest

FORBIDDEN = [
    "argparse",
    "typer",
    "rich",
    "click",
    "google.protobuf",
    "tornado.web",
    "tornado.curl_httpclient",
    "ibisspoke_standins",
    "ibisspoke_ctl",
]
PROGRAM = "import sys, ibisspoke_node.main; print('\\n'.join(sys.modules))"


@pytest.fixture(scope="module")
def modules() -> set[str]:
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    return set(completed.stdout.split())


def test_program_is_imported(modules):
    assert "ibisspoke_node.main" in modules


@pytest.mark.parametrize("name", FORBIDDEN)
def test_node_does_not_import(modules, name):
    assert name not in modules


def test_program_without_settings_prints_its_usage():
    completed = subprocess.run(
        [sys.executable, "-m", "ibisspoke_node.main", "--help"],
        capture_output=True,
        text=True,
    )
    assert completed.returncode != 0
    assert "usage: ibisspoke-node SETTINGS.toml" in completed.stderr
