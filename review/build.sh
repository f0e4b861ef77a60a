#!/usr/bin/env bash
# Builds the stand-ins: they are Python modules of this folder that need
# nothing but the standard library, so this compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
