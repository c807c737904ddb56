#!/usr/bin/env bash
# Installs the libraries that the build needs, and the build tools that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
xargs "${sudo[@]}" apt-get install -y -qq <Meta/packages.txt
tools=()
command -v g++ >/dev/null || tools+=(g++)
command -v cmake >/dev/null || tools+=(cmake)
command -v make >/dev/null || tools+=(make)
command -v pkg-config >/dev/null || tools+=(pkg-config)
command -v curl >/dev/null || tools+=(curl)
[ ${#tools[@]} = 0 ] || "${sudo[@]}" apt-get install -y -qq "${tools[@]}"
