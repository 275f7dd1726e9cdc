#!/usr/bin/env bash
# Soaks the edge daemon with a range of seeds, some at once, and prints a line
# for each. Exit status 1 if a promise was broken.
# Usage: soak/seeds.sh BUILD LOGS FIRST LAST [AT ONCE [options of soak_site]]
set -euo pipefail
build=$1
logs=$2
first=$3
last=$4
at_once=${5:-8}
shift "$(($# < 5 ? $# : 5))"
export build logs at_once
# Soaks that run side by side have networks of their own.
seq "$first" "$last" | xargs -P "$at_once" -I SEED bash -c '
    soak/run.sh "$build" "$logs/SEED" --seed SEED \
        --network $((SEED % 200 + 20)) "$@"' soak "$@"
