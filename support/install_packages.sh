#!/usr/bin/env bash
# Installs every package that building, testing and checking figstall needs.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
  g++ cmake make python3 clang-format-14 clang-tidy-14 \
  libulfius-dev liborcania-dev libyder-dev libcapnp-dev capnproto \
  libboost1.81-dev libdocopt-dev libfmt-dev libtrompeloeil-cpp-dev catch2 \
  libcurl4-gnutls-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev
