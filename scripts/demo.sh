#!/usr/bin/env bash
# Installs, builds and shows the main job: scripts/demo.sh [valpadana|etna-verde]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
exec build/bin/balsamwheel-bench run demo --deployment "${1:-valpadana}" \
  --seed "${SEED:-1}"
