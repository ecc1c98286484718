#!/usr/bin/env bash
# Writes a Markdown report with plots from JSON results of balsamwheel-bench:
# scripts/report.sh RESULT.json...
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$#" -gt 0 ] || { echo "usage: scripts/report.sh RESULT.json..." >&2; exit 2; }
OUT=docs/reports
mkdir -p "$OUT"
exec python3 scripts/report.py "$OUT" "$@"
