#!/usr/bin/env bash
# Soak test of several nodes under random faults: scripts/fuzz.sh SEED STEPS
# Uses consecutive seeds from SEED on, one per 150 steps. For a violation it
# prints the command that reproduces it. JOBS > 1 splits the steps over that many
# processes, whose first seeds are 1000000 apart.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${1:?usage: scripts/fuzz.sh SEED STEPS}
STEPS=${2:?usage: scripts/fuzz.sh SEED STEPS}
JOBS=${JOBS:-1}
BUILD=${BUILD:-build}
if [ ! -x "$BUILD/bin/balsamwheel-soak" ]; then
  scripts/build.sh "$BUILD"
fi
STRIDE=1000000
PIDS=()
for ((I = 0; I < JOBS; I++)); do
  "$BUILD/bin/balsamwheel-soak" --seed $((SEED + I * STRIDE)) \
    --steps $((STEPS / JOBS)) &
  PIDS+=($!)
done
FAILED=0
for PID in "${PIDS[@]}"; do
  wait "$PID" || FAILED=1
done
exit "$FAILED"
