#!/usr/bin/env bash
# Checks the format of all C++ files except generated ones, and runs clang-tidy on
# all translation units except tests.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t SOURCES < <(git ls-files -co --exclude-standard '*.cpp' '*.h' |
  grep -v '_generated\.h$')
clang-format-19 --dry-run --Werror "${SOURCES[@]}"
[ -f build/compile_commands.json ] || scripts/build.sh build
mapfile -t UNITS < <(git ls-files -co --exclude-standard \
  'src/*.cpp' 'platform/*.cpp' 'bench/*.cpp' 'examples/*.cpp')
printf '%s\0' "${UNITS[@]}" |
  xargs -0 -n 1 -P "${JOBS:-$(nproc)}" clang-tidy-19 -p build --quiet \
    2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
