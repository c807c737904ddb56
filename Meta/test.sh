#!/usr/bin/env bash
# Installs what is needed, builds, and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
./Meta/build.sh Build
./Meta/known_red.sh Build
