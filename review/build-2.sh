#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/6 start, into target/review-2. Needs the packages of the
# deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" -o "target/review-2/$name" \
        -ljsoncpp &
    pids+=("$!")
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
