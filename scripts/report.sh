#!/usr/bin/env bash
# Turns results of balsamwheel-bench into a Markdown report with plots:
# scripts/report.sh RESULT.json...
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$#" -gt 0 ] || { echo "usage: scripts/report.sh RESULT.json..." >&2; exit 2; }
OUT=docs/reports
mkdir -p "$OUT"
exec python3 scripts/report.py "$OUT" "$@"
