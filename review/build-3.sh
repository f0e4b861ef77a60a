#!/bin/sh
# Builds the stand-ins of the third review; the build of the deploy file must
# have run before. They need nothing but Python's standard library.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/testbed.py review/1[1-5]/case.py
