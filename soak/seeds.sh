#!/usr/bin/env bash
# Runs the fault soak with a range of seeds, several concurrently, and prints
# the result of each. The exit status is not 0 if an invariant was violated.
# Usage: soak/seeds.sh BUILD LOGS FIRST LAST [PARALLEL [options of soak_site]]
set -euo pipefail
build=$1
logs=$2
first=$3
last=$4
parallel=${5:-8}
shift "$(($# < 5 ? $# : 5))"
export build logs parallel
# Concurrent soaks need different networks.
seq "$first" "$last" | xargs -P "$parallel" -I SEED bash -c '
    soak/run.sh "$build" "$logs/SEED" --seed SEED \
        --network $((SEED % 200 + 20)) "$@"' soak "$@"
