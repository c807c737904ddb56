#!/usr/bin/env bash
# Runs the case; TROUBLE=0 does the same without the disruption. Exit code: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 115 python3 case.py
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
exit "$code"
