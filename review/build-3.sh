#!/bin/sh
# The cases 11 to 15 need nothing built beside the deploy file's program: their stand-ins are Python. Checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - harness3.py 11/run.py 12/run.py 13/run.py 14/run.py 15/run.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
END
