#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs without dependencies: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for program in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$program"
done
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
