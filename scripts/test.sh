#!/usr/bin/env bash
# Installs missing packages, builds, and runs every ctest test: unit, fuzz, soak and system.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
source "$top/scripts/setup.sh"
cd "$top/build"
ctest --output-on-failure --timeout 600
