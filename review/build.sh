#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
