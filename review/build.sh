#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 with its standard library: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }
for it in standins.py [0-9]*/*.py; do
  python3 - "$it" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
echo "stand-ins checked"
