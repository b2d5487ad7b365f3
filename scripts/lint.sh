#!/usr/bin/env bash
# clang-tidy over every source, in parallel; fails on any finding.
# clang-tidy 16 is Debian 12's newest. It does not know -std=c++23 (it is
# c++2b there), libstdc++ 12 gates <expected> on a concepts level clang 16
# does not announce, and Boost 1.74 does not detect clang's coroutines:
# the extra arguments below say what the compiler in use (g++ 12) has.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
args=(-p build --quiet
  --extra-arg=-std=c++2b
  --extra-arg=-U__cpp_concepts --extra-arg=-D__cpp_concepts=202002L
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
git ls-files 'src/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy-16 "${args[@]}" >build/tidy.log 2>&1 || true
if grep -E 'warning:|error:' build/tidy.log; then
  echo "clang-tidy: findings above"
  exit 1
fi
echo "clang-tidy: clean"
