#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build >/dev/null
cmake --build build -j "$(nproc)"
