#!/usr/bin/env bash
# Installs, builds, and runs the whole path on stand-ins; with `router`, that of
# figstall's own interface.
set -euo pipefail
cd "$(dirname "$0")/.."
./support/install_packages.sh
./support/build.sh
if [ "${1:-}" = router ]; then
  shift
  exec python3 support/demo.py "$@"
fi
exec python3 support/entry_demo.py
