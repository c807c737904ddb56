#!/usr/bin/env bash
# Runs the linter over all sources: Meta/lint.sh [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
git ls-files 'Libraries/*.cpp' 'platform/*.cpp' 'Services/*.cpp' 'Tests/*.cpp' 'Benchmarks/*.cpp' |
    xargs -P "${CARAWAYKEEL_JOBS:-5}" -n 4 clang-tidy -p "$folder" --quiet 2>&1 |
    { grep -E 'warning:|error:' || true; } | sort -u >"$folder/lint.txt" || true
cat "$folder/lint.txt"
[ ! -s "$folder/lint.txt" ]
