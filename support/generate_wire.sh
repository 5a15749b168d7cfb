#!/usr/bin/env bash
# Regenerates the C++ code of the wire format from its schemas. The generated
# files are committed.
set -euo pipefail
cd "$(dirname "$0")/../src"
capnp compile -oc++ wire.capnp peer.capnp
