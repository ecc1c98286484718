#!/usr/bin/env bash
# Regenerates the committed FlatBuffers headers; requires flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o src/adapters/peer_tcp schema/peer.fbs
sed -i '1i // clang-format off' src/adapters/peer_tcp/peer_generated.h
flatc --cpp --scoped-enums --gen-object-api -o src/link schema/link.fbs
sed -i '1i // clang-format off' src/link/link_generated.h
