"""The build of the node for the users' platform."""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def build(tmp_path, monkeypatch):
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy/build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    module.installed = []

    def run(command, check):
        module.installed.append(command)
        module.DEPENDENCIES.mkdir(parents=True)

    monkeypatch.setattr(module, "DEPENDENCIES", tmp_path / "target" / "deps")
    monkeypatch.setattr(module, "STAMP", tmp_path / "target" / "installed.txt")
    monkeypatch.setattr(module.subprocess, "run", run)
    return module


@pytest.mark.parametrize(
    "other",
    [
        ("a==1", "aarch64", "cpython-311"),
        ("a==2", "x86_64", "cpython-311"),
        ("a==1", "x86_64", "cpython-312"),
    ],
)
def test_an_installation_for_something_else_is_replaced(build, other):
    # Guards against modules of another processor, which fail to load at each start.
    first = build.fingerprint("a==1", "x86_64", "cpython-311")
    build.install(first)
    build.install(first)
    assert len(build.installed) == 1
    left_over = build.DEPENDENCIES / "native.so"
    left_over.touch()
    build.install(build.fingerprint(*other))
    assert len(build.installed) == 2
    assert not left_over.exists()


def test_an_installation_that_failed_is_made_again(build, monkeypatch):
    expected = build.fingerprint("a==1", "x86_64", "cpython-311")

    def fail(command, check):
        raise OSError("no network")

    with monkeypatch.context() as patch:
        patch.setattr(build.subprocess, "run", fail)
        with pytest.raises(OSError, match="no network"):
            build.install(expected)
    build.install(expected)
    assert len(build.installed) == 1


def test_the_deploy_file_builds_with_it():
    text = (ROOT / "deploy/system.toml").read_text()
    assert text.startswith('build = "python3 deploy/build.py"\n')
