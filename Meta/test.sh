#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
./Meta/build.sh Build
./Meta/known_red.sh Build
