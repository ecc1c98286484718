#!/usr/bin/env bash
# Installs the coordination library below the build folder, then builds and runs
# the example that embeds it.
set -euo pipefail
cd "$(dirname "$0")/.."
STAGE=$PWD/build/stage
cmake --install build --prefix "$STAGE" >/dev/null
cmake -S examples/embed -B build/embed -G Ninja \
  -DCMAKE_PREFIX_PATH="$STAGE" >/dev/null
ninja -C build/embed --quiet
build/embed/embed
