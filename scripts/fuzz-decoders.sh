#!/usr/bin/env bash
# Fuzzes the decoders of network input with libFuzzer:
# scripts/fuzz-decoders.sh [RUNS [SEED]], with RUNS inputs for each decoder.
# Installs clang-19 and libclang-rt-19-dev if they are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
RUNS=${1:-200000}
SEED=${2:-1}
for PACKAGE in clang-19 libclang-rt-19-dev; do
  dpkg -s "$PACKAGE" >/dev/null 2>&1 ||
    DEBIAN_FRONTEND=noninteractive \
      apt-get install -y -qq --no-install-recommends "$PACKAGE" >/dev/null
done
OUT=build-fuzz
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined
  -fno-sanitize-recover=undefined -Iinclude -Isrc)
clang++-19 "${FLAGS[@]}" tests/fuzz/frame_decoder.cpp \
  src/adapters/peer_tcp/{encode,decode,error}.cpp -lflatbuffers \
  -o "$OUT/frame_decoder"
clang++-19 "${FLAGS[@]}" tests/fuzz/request_parser.cpp \
  src/adapters/caller_http/request_parser.cpp src/coordination/outcome.cpp \
  -o "$OUT/request_parser"
for TARGET in frame_decoder request_parser; do
  mkdir -p "$OUT/corpus-$TARGET"
  echo "$OUT/$TARGET -runs=$RUNS -seed=$SEED -max_len=4096"
  "$OUT/$TARGET" -runs="$RUNS" -seed="$SEED" -max_len=4096 \
    -artifact_prefix="$OUT/" "$OUT/corpus-$TARGET" 2>&1 | tail -3
done
