#!/bin/sh
# Prepares the scripts of this review: compiles their stand-ins, which need nothing but
# the standard library, and checks that the build of the deploy file has run.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run python3 deploy/build.py first"; exit 1; }
exec python3 -m compileall -q review/lab3 review/11 review/12 review/13 review/14 review/15
