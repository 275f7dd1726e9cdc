#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
source=review/standins-2
pids=()
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -c "$source/site.cc" \
    -o build-review-2/site.o
for case in "$source"/*.cc; do
    name=$(basename "$case" .cc)
    [ "$name" = site ] && continue
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra "$case" build-review-2/site.o \
        -o "build-review-2/$name" -pthread &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
