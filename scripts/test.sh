#!/usr/bin/env bash
# Installs the required packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure -j "${JOBS:-$(nproc)}"
