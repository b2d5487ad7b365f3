#!/usr/bin/env bash
# Fuzzes the decoders of external input, with a fixed number of runs and a fixed
# seed so that the result is reproducible. RUNS and SEED override the two.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
out=${FUZZ_BUILD:-$top/build/fuzz}
runs=${RUNS:-100000}
seed=${SEED:-1}
mkdir -p "$out"
cd "$top"
source scripts/clang16.sh
flags=("${CLANG16_FLAGS[@]}" -O1 -g -Isrc -I. -fsanitize=address,undefined -fno-sanitize-recover=undefined)
sources=(src/cornellever/config/ini_text.cpp src/cornellever/config/json.cpp src/cornellever/config/load.cpp src/cornellever/config/model.cpp
  src/cornellever/config/parsing.cpp
  src/cornellever/core/asio.cpp src/cornellever/core/base64.cpp src/cornellever/core/error.cpp src/cornellever/core/packing.cpp
  src/cornellever/ini/reader.cpp
  src/cornellever/proxy/group_record.cpp src/cornellever/proxy/request.cpp src/cornellever/proxy/session_token.cpp
  src/cornellever/rpc/envelope.cpp src/cornellever/cluster/peer_message.cpp src/cornellever/cluster/promotion_claim.cpp
  src/cornellever/cluster/snapshot.cpp src/cornellever/accounts/directory.cpp src/cornellever/accounts/key_digest.cpp
  src/cornellever/limits/grant_message.cpp platform/relay_codec.cpp platform/row_codec.cpp platform/statement_codec.cpp)
printf '%s\n' "${sources[@]}" tests/fuzz/config.cpp tests/fuzz/request.cpp tests/fuzz/statements.cpp |
  xargs -P "$(nproc)" -I{} bash -c 'o="$1/$(echo "$2" | tr / _).o"; [ -e "$o" ] && [ -z "$(find src platform tests/fuzz -newer "$o" -print -quit)" ] || clang++-16 "${@:3}" -fsanitize=fuzzer-no-link -c "$2" -o "$o"' \
    bash "$out" {} "${flags[@]}" 2>"$out/compile.log" || { cat "$out/compile.log"; exit 1; }
objects=()
for source in "${sources[@]}"; do objects+=("$out/$(echo "$source" | tr / _).o"); done
for target in config request statements; do
  clang++-16 "${flags[@]}" -fsanitize=fuzzer "$out/tests_fuzz_$target.cpp.o" "${objects[@]}" -ljsoncpp -linih -lsodium -lz -lpthread -o "$out/$target"
  rm -rf "$out/corpus-$target" && mkdir "$out/corpus-$target"
  "$out/$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=10 -artifact_prefix="$out/" \
    "$out/corpus-$target" "tests/fuzz/corpus/$target" >"$out/$target.log" 2>&1 || { tail -40 "$out/$target.log"; exit 1; }
  echo "$target: $(grep -o 'Done.*' "$out/$target.log") without findings"
done
