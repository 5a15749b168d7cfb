#!/usr/bin/env bash
# Checks format and lint of all C++ code that is not generated.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build >/dev/null
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '\.capnp\.')
clang-format-14 --dry-run --Werror "${files[@]}"
# Largest first, so that no long check is left at the end.
mapfile -t sources < <(git ls-files 'src/*.cc' 'platform/*.cc' 'test/*.cc' 'test/fakes/*.cc' | xargs ls -S)
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy-14 --quiet -p build
echo "format and lint: clean"
