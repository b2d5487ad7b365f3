#!/bin/bash
# Builds the stand-ins of the review into review/bin. Needs g++, Boost and jsoncpp, as the project does.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in stale_read two_holders; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Wno-missing-field-initializers \
        -DBOOST_ASIO_NO_DEPRECATED -o "bin/$name" "stand_ins/$name.cpp" -ljsoncpp -lpthread &
done
wait
