#!/usr/bin/env bash
# Mutation test of the soak: disables one safety rule per build and expects the
# oracle of the soak to report a violation within STEPS steps:
# scripts/mutants.sh [STEPS]. Prints "N of N caught".
set -euo pipefail
cd "$(dirname "$0")/.."
STEPS=${1:-20000}
SEED=${SEED:-1}
RULES=(LeaseCheck EpochCompare TakeoverWait WriteIdConfirmation AtMostOnceRecord
  MonotoneVersion YieldWait WitnessPromise)
CAUGHT=0
for ((I = 0; I < ${#RULES[@]}; I++)); do
  BUILD=build-mutants/$((I + 1))
  cmake -S . -B "$BUILD" -G Ninja -DBALSAMWHEEL_BENCH=OFF \
    -DCMAKE_CXX_FLAGS="-DBALSAMWHEEL_DISABLED_RULE=$((I + 1))" >/dev/null
  ninja -C "$BUILD" -j "${JOBS:-$(nproc)}" --quiet balsamwheel-soak
  OUTPUT=$("$BUILD/bin/balsamwheel-soak" --seed "$SEED" --steps "$STEPS") &&
    STATUS=0 || STATUS=$?
  if [ "$STATUS" -ne 0 ] && grep -q '^violation: ' <<<"$OUTPUT"; then
    CAUGHT=$((CAUGHT + 1))
    echo "${RULES[$I]}: caught ($(grep '^violation: ' <<<"$OUTPUT"))"
  else
    echo "${RULES[$I]}: NOT caught in $STEPS steps"
  fi
done
echo "$CAUGHT of ${#RULES[@]} caught"
[ "$CAUGHT" -eq "${#RULES[@]}" ]
