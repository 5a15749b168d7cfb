#!/usr/bin/env bash
# Builds and runs all tests. Tests that KNOWN-RED.txt names may fail; they are
# printed. Ends with one line of counts.
set -euo pipefail
cd "$(dirname "$0")/.."
./support/build.sh
exec python3 support/run_tests.py "$@"
