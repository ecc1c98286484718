#!/usr/bin/env bash
# Measures the resource usage of coordination at several numbers of nodes:
# scripts/capacity.sh [SIZE...]. Writes one JSON file per size to docs/reports/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build
mkdir -p docs/reports
for NODES in "${@:-14 28 56 112 220 440 880}"; do
  for SIZE in $NODES; do
    build/bin/balsamwheel-capacity --nodes "$SIZE" \
      >"docs/reports/capacity-$SIZE.json"
  done
done
