#!/usr/bin/env bash
# Makes the C++ code of the wire format anew; its output is committed.
set -euo pipefail
cd "$(dirname "$0")/../src"
capnp compile -oc++ wire.capnp peer.capnp
