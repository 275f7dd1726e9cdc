#!/usr/bin/env bash
# Part of tools/test.sh: runs the soak concurrently with one short seed and with
# each seed of regressions.txt. Usage: soak/check.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
logs=$(mktemp -d)
declare -A runs=()
run_soak() {
    local network=$((${#runs[@]} + 10))
    soak/run.sh "$build" "$logs/$network" --network "$network" "$@" &
    runs[$!]="$*"
}
run_soak --seed 1 --seconds 15
while IFS='|' read -r seed_options _; do
    read -ra options <<<"$seed_options"
    run_soak "${options[@]}"
done < <(grep -v '^#' soak/regressions.txt)
status=0
for run in "${!runs[@]}"; do
    if ! wait "$run"; then
        echo "soak/run.sh $build $logs ${runs[$run]}: the soak failed" >&2
        status=1
    fi
done
if [ "$status" -eq 0 ]; then rm -rf "$logs"; else echo "logs: $logs" >&2; fi
exit "$status"
