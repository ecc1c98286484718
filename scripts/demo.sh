#!/usr/bin/env bash
# Installs the required packages, builds, and runs the experiment "demo":
# scripts/demo.sh [valpadana|etna-verde]. SEED sets the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
exec build/bin/balsamwheel-bench run demo --deployment "${1:-valpadana}" \
  --seed "${SEED:-1}"
