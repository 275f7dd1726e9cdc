#!/usr/bin/env bash
# Runs the tests of a build directory. Those that KNOWN-RED.txt names are run
# apart, printed as known red, and do not change the exit status.
# Usage: tools/run_tests.sh BUILD [REGULAR EXPRESSION OF TEST NAMES]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
selected=${2:-.}

# An entry is one line: NAME | command and seed | what was seen | issue.
# NAME is a test of ctest, or LIBRARY/TEST CASE for one case of its program.
names=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t names < <(sed -n 's/^\([^#|][^|]*[^| ]\) *|.*/\1/p' KNOWN-RED.txt)
fi
if [ "${#names[@]}" -eq 0 ]; then
    exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
        -R "$selected"
fi

alternatives=
for name in "${names[@]}"; do
    exact="^$(sed 's/[][\.*^$()+?|]/\\&/g' <<<"$name")\$"
    if ! ctest --test-dir "$build" -N -R "$exact" | grep -q 'Total Tests: 1$'; then
        echo "KNOWN-RED.txt: there is no test '$name'" >&2
        exit 1
    fi
    alternatives+=${alternatives:+|}$exact
done
status=0
ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
    -R "$selected" -E "$alternatives" || status=$?
for name in "${names[@]}"; do
    exact="^$(sed 's/[][\.*^$()+?|]/\\&/g' <<<"$name")\$"
    if ! [[ "${name%%/*}" =~ $selected ]]; then
        continue
    fi
    if ctest --test-dir "$build" --output-on-failure -R "$exact"; then
        echo "known red: $name PASSED; remove its entry from KNOWN-RED.txt"
    else
        echo "known red: $name failed"
    fi
    grep -F "$name " KNOWN-RED.txt
done
exit "$status"
