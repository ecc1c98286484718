#!/usr/bin/env bash
# Soaks several nodes under random faults: scripts/fuzz.sh SEED STEPS
# Seeds count up from SEED, one for each 150 steps; a violation prints the
# command that repeats it. JOBS > 1 splits the steps over as many processes.
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
