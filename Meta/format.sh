#!/usr/bin/env bash
# Checks the format of all sources; --fix reformats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" != --fix ] || mode=(-i)
git ls-files '*.h' '*.cpp' | xargs clang-format "${mode[@]}"
