#!/usr/bin/env bash
# Installs, builds, and runs the whole path on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
./support/install_packages.sh
./support/build.sh
exec python3 support/demo.py "$@"
