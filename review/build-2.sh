#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the build of the
# deploy file: their stand-ins are Python, so it only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
python3 - "$FOLDER" standins-2/*.py {6,7,8,9,10}/*.py <<'END'
import os, py_compile, sys
import tomllib  # Python 3.11 or later

for path in filter(os.path.exists, sys.argv[2:]):
    py_compile.compile(path, cfile=os.path.join(sys.argv[1], "out.pyc"), doraise=True)
END
