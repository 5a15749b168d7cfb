#!/usr/bin/env bash
# Installs the packages, builds, and runs the demonstration of the entries
# against the emulator. With the argument `router`, runs that of the routers and
# stewards (figstall's own interface) with stand-ins for platform and targets.
set -euo pipefail
cd "$(dirname "$0")/.."
./support/install_packages.sh
./support/build.sh
if [ "${1:-}" = router ]; then
  shift
  exec python3 support/demo.py "$@"
fi
exec python3 support/entry_demo.py
