#!/bin/sh
# Builds what the scripts 6 to 10 start beside the deploy build: nothing but
# their stand-ins, which are Python programs of its standard library.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 -B - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sorted(pathlib.Path(".").glob("lib-2/*.py")) + \
        [pathlib.Path(f"{number}/case.py") for number in range(6, 11)]:
    if path.exists():
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("the stand-ins of the cases 6 to 10 are ready")
CHECK
