#!/usr/bin/env bash
# Configures and builds everything:
# scripts/build.sh [BUILD_DIR [CMAKE_OPTION...]]
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${1:-build}
shift || true
cmake -S . -B "$BUILD" -G Ninja -DBALSAMWHEEL_WARNINGS_AS_ERRORS=ON "$@" >/dev/null
ninja -C "$BUILD" -j "${JOBS:-$(nproc)}" --quiet
