#!/usr/bin/env bash
# Checks every model with spin, and that each model fails without each of its
# rules. Prints the property, the bounds, the number of states and the time.
# Usage: spec/check.sh [deep]   (deep: two deaths in the flow model; 2 minutes)
set -euo pipefail
cd "$(dirname "$0")"
deep=${1:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# model | what is claimed | bounds | variants that must fail
models=(
    "flow|a flow reaches one service, and one target once settled|3 VMs, 1 flow, 2 versions, 1 death (2 with deep), 1 pause or cut, restarts|NO_FENCE NO_MARK_ACK GUESS_MIXED GUESS_HISTORY NO_HANDOVER_ACK LATE_REPLICATION ONE_ACK KEEP_REPLICA KEEP_FORMER FORGET_INHERITED NO_REVALIDATION"
    "version|the version in effect never goes back and is never half applied|3 VMs, 3 versions, 2 chunks, any restarts, stale reads, any partition|NO_MONOTONE NO_HASH NO_PEERS_FIRST FORGETFUL"
    "data_centre_out|no packet into a data centre 3 s after it is out, from reachable VMs|3 VMs, 1 bucket, any cuts|FORWARD_TO_HOLDER NO_PULL CUT_OFF_TOO"
    "cold_start|at most one VM acts as steward of a cold target|2 VMs, 10 s units, list age 30 s, delay 10 s, any restarts and partitions|NO_LIST_AGE NO_LISTED NO_HOLD NO_GAP_RESET LISTED_BY_CLOCK FLAPPING LAG_IGNORED PAGE_RULE"
    "ramp|successive stewards stay below one ramp|4 stewards, capacity 32, steps of 5 s|NO_WAIT"
    "follow|daemons that follow stale replicas learn of a change within the bound|3 daemons, 1 change, 1 stop, any loss of notices, any staleness|NO_OWN_CONFIRM NO_BEHIND LONG_FOLLOW AGE_FORGOTTEN"
    "token|packets of a flow find its target by the token, and reach no other service|2 targets, 1 flow, 1 daemon, 1 move, 1 reused address, any reads and forged tokens, 12 steps|NO_IDENTITY NO_PERMITTED FORGET_FORMER FORGET_WITHDRAWN"
    "grants|a steward, the holders of its grants and the next steward stay below one ramp|3 VMs, 2 stewards, capacity 16, 1 restart, any loss, delay and order|FORGET_OUTSTANDING BY_VM NO_INCREMENT"
)

# Runs model $1 without the rule $2 (empty: all rules); the result is a file.
run()
{
    local model=$1 variant=$2 name="$1${2:+.$2}" dir options=()
    dir="$work/$name.d"
    mkdir "$dir"
    if [ -n "$variant" ]; then
        options+=("-D$variant")
    fi
    # The delay must be longer than the margin for its omission to show.
    if [ "$variant" = LAG_IGNORED ]; then
        options+=(-DLAG=3)
    fi
    # The rule matters with a second death only.
    if [ "$variant" = KEEP_FORMER ] || { [ "$deep" = deep ] && [ "$model" = flow ]; }; then
        options+=(-DDEATHS=2)
    fi
    cp "$model.pml" "$dir"
    (
        cd "$dir"
        spin -a "${options[@]}" "$model.pml" >spin.txt
        cc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
        ./pan -m3000000
    ) >"$work/$name.txt" 2>&1 || true
    rm -rf "$dir"
}
export -f run
export work deep

value()
{
    sed -nE "s/$2/\\1/p" "$work/$1.txt" | head -1
}

for row in "${models[@]}"; do
    IFS='|' read -r model _ _ variants <<<"$row"
    printf '%s -\n' "$model"
    for variant in $variants; do
        printf '%s %s\n' "$model" "$variant"
    done
done | xargs -P 4 -L 1 bash -c 'run "$0" "${1#-}"'

failed=0
for row in "${models[@]}"; do
    IFS='|' read -r model claim bounds variants <<<"$row"
    result="$work/$model.txt"
    errors=$(value "$model" '.*errors: ([0-9]+).*')
    # A search that was cut short proves nothing.
    if [ "$errors" != 0 ] ||
        grep -qE 'max search depth too small|reached memory|out of memory' "$result"; then
        echo "FAILED $model: $claim"
        cat "$result"
        failed=1
        continue
    fi
    echo "$model: $claim"
    echo "  bounds: $bounds"
    echo "  $(value "$model" '^ *([0-9.e+]+) states, stored.*') states, $(value "$model" '.*elapsed time ([0-9.e+]+) .*') s"
    for variant in $variants; do
        if grep -q 'assertion violated' "$work/$model.$variant.txt"; then
            echo "  without the rule ($variant): violated, as it must be"
        else
            echo "  FAILED: not violated without the rule ($variant)"
            cat "$work/$model.$variant.txt"
            failed=1
        fi
    done
done
exit "$failed"
