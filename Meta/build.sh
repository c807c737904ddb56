#!/usr/bin/env bash
# Builds into a folder: Meta/build.sh [FOLDER] [CMAKE OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-Build}
shift || true
cmake -S . -B "$folder" "$@" >/dev/null
cmake --build "$folder" -j "${CARAWAYKEEL_JOBS:-5}" -- -s 2>/dev/null || cmake --build "$folder" -j "${CARAWAYKEEL_JOBS:-5}"
