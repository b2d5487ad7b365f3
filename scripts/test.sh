#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test (unit and system) with ctest.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
source "$top/scripts/setup.sh"
cd "$top/build"
ctest --output-on-failure --timeout 600
