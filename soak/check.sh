#!/usr/bin/env bash
# The soak's part of the test command: one short seed and, beside it, each seed
# of regressions.txt. Usage: soak/check.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
logs=$(mktemp -d)
declare -A runs=()
play() {
    local network=$((${#runs[@]} + 10))
    soak/run.sh "$build" "$logs/$network" --network "$network" "$@" &
    runs[$!]="$*"
}
play --seed 1 --seconds 15
while IFS='|' read -r options _; do
    read -ra words <<<"$options"
    play "${words[@]}"
done < <(grep -v '^#' soak/regressions.txt)
status=0
for run in "${!runs[@]}"; do
    if ! wait "$run"; then
        echo "soak/run.sh $build $logs ${runs[$run]}: a promise was broken" >&2
        status=1
    fi
done
if [ "$status" -eq 0 ]; then rm -rf "$logs"; else echo "logs: $logs" >&2; fi
exit "$status"
