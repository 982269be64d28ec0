#!/usr/bin/env bash
# Builds the stand-ins: compiles them, so that a syntax error shows here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*
