#!/usr/bin/env bash
# Runs clang-tidy on every source file in parallel; fails on any finding.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
source scripts/clang16.sh
args=(-p build --quiet)
for flag in "${CLANG16_FLAGS[@]}"; do args+=("--extra-arg=$flag"); done
git ls-files 'src/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy-16 "${args[@]}" >build/tidy.log 2>&1 || true
if grep -E 'warning:|error:' build/tidy.log; then
  echo "clang-tidy: findings above"
  exit 1
fi
echo "clang-tidy: clean"
