#!/usr/bin/env bash
# Prepares what the scripts of the cases 11 to 15 start besides the router. Their stand-ins are Python 3 programs of
# its standard library only, so there is nothing to compile: this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for name in sorted(glob.glob("lib-3/*.py") + glob.glob("1[1-5]/*.py")):
    ast.parse(open(name, encoding="utf-8").read(), name)
    print("checked", name)
CHECK
