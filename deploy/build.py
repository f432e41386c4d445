"""Install what a node requires below ``target/``, and compile its packages.

The installation is kept while it fits: native modules of another processor or Python
version fail to load. Compiled packages save each start of a node the time to compile.
"""

import compileall
import platform
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
DEPENDENCIES = ROOT / "target" / "deps"
STAMP = ROOT / "target" / "installed.txt"
SOURCES = ("packages/policy", "packages/storage", "packages/mesh", "platform")


def fingerprint(requirements: str, machine: str, python_tag: str) -> str:
    """Return the text that tells what an installation was made for.

    :param machine: the kind of processor, for instance ``x86_64``.
    :param python_tag: the Python version whose modules are installed.
    """
    return f"{machine} {python_tag}\n{requirements}"


def install(expected: str) -> None:
    """Replace the installation, unless it was made for the same."""
    if STAMP.exists() and STAMP.read_text() == expected:
        return
    STAMP.unlink(missing_ok=True)
    shutil.rmtree(DEPENDENCIES, ignore_errors=True)
    pip = [sys.executable, "-m", "pip", "install", "--quiet"]
    subprocess.run(
        [*pip, "--target", str(DEPENDENCIES), "--requirement", str(REQUIREMENTS)],
        check=True,
    )
    STAMP.write_text(expected)


def main() -> int:
    """Build, and return the exit code."""
    tag = sys.implementation.cache_tag
    install(fingerprint(REQUIREMENTS.read_text(), platform.machine(), tag))
    compiled = [compileall.compile_dir(ROOT / source, quiet=1) for source in SOURCES]
    return 0 if all(compiled) else 1


if __name__ == "__main__":
    sys.exit(main())
