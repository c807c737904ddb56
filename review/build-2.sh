#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs without dependencies, so that there is nothing to
# compile; this checks that the interpreter is there and that it can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import os
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
