#!/usr/bin/env bash
# Builds into a folder: Meta/build.sh [FOLDER] [CMAKE OPTIONS...]. Compiler output goes to FOLDER/build.log.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
shift || true
cmake -S . -B "$folder" "$@" >/dev/null
if ! cmake --build "$folder" -j "${CARAWAYKEEL_JOBS:-5}" >"$folder/build.log" 2>&1; then
    grep -E 'error|Error' "$folder/build.log" | head -40
    exit 1
fi
