#!/usr/bin/env bash
# Verifies the property of every model with Spin, and that disabling any one of
# the model's rules violates it. Prints the property, the bounds, the number of
# states and the time.
# Usage: spec/check.sh [deep]
# deep allows two VM failures in the flow model and takes 2 minutes.
set -euo pipefail
cd "$(dirname "$0")"
deep=${1:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# model | property | bounds | variants: macros that each disable one rule (or
# assumption) and must violate the property
models=(
    "flow|packets of a flow reach one service, and one target once its state is settled|3 VMs, 1 flow, 2 versions, 1 VM failure (2 with deep), 1 pause or partition, restarts|NO_FENCE NO_MARK_ACK GUESS_MIXED GUESS_HISTORY NO_HANDOVER_ACK LATE_REPLICATION ONE_ACK KEEP_REPLICA KEEP_FORMER FORGET_INHERITED NO_REVALIDATION"
    "version|the version in effect never decreases and is never partially applied|3 VMs, 3 versions, 2 chunks, any restarts, stale reads, any partition|NO_MONOTONE NO_HASH NO_PEERS_FIRST FORGETFUL"
    "data_centre_out|reachable VMs send no packet into a data centre later than 3 s after it is taken out of service|3 VMs, 1 bucket, any partitions|FORWARD_TO_HOLDER NO_PULL CUT_OFF_TOO"
    "cold_start|at most one VM acts as steward of a cold target|2 VMs, 10 s units, list age 30 s, delay 10 s, any restarts and partitions|NO_LIST_AGE NO_LISTED NO_HOLD NO_GAP_RESET LISTED_BY_CLOCK FLAPPING LAG_IGNORED PAGE_RULE"
    "ramp|the flows that successive stewards place stay within one ramp|4 stewards, capacity 32, steps of 5 s|NO_WAIT"
    "follow|daemons that read stale replicas receive a change within the time bound|3 daemons, 1 change, 1 stopped daemon, any loss of notices, any staleness|NO_OWN_CONFIRM NO_BEHIND LONG_FOLLOW AGE_FORGOTTEN"
    "token|the token routes packets of a flow to its target, and to no other service|2 targets, 1 flow, 1 daemon, 1 moved reference, 1 reused address, any reads and forged tokens, 12 steps|NO_IDENTITY NO_PERMITTED FORGET_FORMER FORGET_WITHDRAWN"
    "silence|a target that lives is never declared dead|3 flows with 2 requests each, batches of 3 packets, at most 2 lost in a row|TWO_OF_FLOW TWO_OF_TARGET ANY_ORDER NO_INTERVAL KEEP_EVIDENCE ONLY_COPIES UNSEEN_COPIES"
    "grants|the flows placed by a steward, the VMs with its grants and the next steward stay within one ramp|3 VMs, 2 stewards, capacity 16, 1 restart, any message loss, delay and order|FORGET_OUTSTANDING BY_VM NO_INCREMENT"
)

# Checks model $1 with the macro $2 defined, which disables a rule; if $2 is
# empty, with all rules. Writes the output to $work/MODEL.txt or
# $work/MODEL.VARIANT.txt.
check_model()
{
    local model=$1 variant=$2 name="$1${2:+.$2}" dir options=()
    dir="$work/$name.d"
    mkdir "$dir"
    if [ -n "$variant" ]; then
        options+=("-D$variant")
    fi
    # Ignoring the list delay violates the property only if the delay exceeds
    # the margin of the time bounds.
    if [ "$variant" = LAG_IGNORED ]; then
        options+=(-DLAG=3)
    fi
    # Without this rule the property is violated only if a second VM fails.
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
export -f check_model
export work deep

# Prints the first line of the output of $1 that matches the regular expression
# $2, which is reduced to its first group.
extract()
{
    sed -nE "s/$2/\\1/p" "$work/$1.txt" | head -1
}

for row in "${models[@]}"; do
    IFS='|' read -r model _ _ variants <<<"$row"
    printf '%s -\n' "$model"
    for variant in $variants; do
        printf '%s %s\n' "$model" "$variant"
    done
done | xargs -P 4 -L 1 bash -c 'check_model "$0" "${1#-}"'

failed=0
for row in "${models[@]}"; do
    IFS='|' read -r model property bounds variants <<<"$row"
    result="$work/$model.txt"
    errors=$(extract "$model" '.*errors: ([0-9]+).*')
    # An incomplete search does not verify the property.
    if [ "$errors" != 0 ] ||
        grep -qE 'max search depth too small|reached memory|out of memory' "$result"; then
        echo "FAILED $model: $property"
        cat "$result"
        failed=1
        continue
    fi
    echo "$model: $property"
    echo "  bounds: $bounds"
    echo "  $(extract "$model" '^ *([0-9.e+]+) states, stored.*') states, $(extract "$model" '.*elapsed time ([0-9.e+]+) .*') s"
    for variant in $variants; do
        if grep -q 'assertion violated' "$work/$model.$variant.txt"; then
            echo "  without the rule ($variant): violated, as expected"
        else
            echo "  FAILED: not violated without the rule ($variant)"
            cat "$work/$model.$variant.txt"
            failed=1
        fi
    done
done
exit "$failed"
