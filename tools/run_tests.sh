#!/usr/bin/env bash
# Runs the tests of a build directory. Known failures, which KNOWN-RED.txt
# lists, run separately: their results are printed and do not affect the exit
# status.
# Usage: tools/run_tests.sh BUILD [REGULAR EXPRESSION OF TEST NAMES]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
selected=${2:-.}

# An entry is one line: NAME | command and seed | what was seen | issue.
# NAME is the name of a ctest test, or LIBRARY/TEST CASE for a single test case
# of the library's test program.
known_failures=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t known_failures < <(sed -n 's/^\([^#|][^|]*[^| ]\) *|.*/\1/p' KNOWN-RED.txt)
fi
if [ "${#known_failures[@]}" -eq 0 ]; then
    exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
        -R "$selected"
fi

excluded_pattern=
for name in "${known_failures[@]}"; do
    exact_pattern="^$(sed 's/[][\.*^$()+?|]/\\&/g' <<<"$name")\$"
    if ! ctest --test-dir "$build" -N -R "$exact_pattern" | grep -q 'Total Tests: 1$'; then
        echo "KNOWN-RED.txt: no test is named '$name'" >&2
        exit 1
    fi
    excluded_pattern+=${excluded_pattern:+|}$exact_pattern
done
status=0
ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
    -R "$selected" -E "$excluded_pattern" || status=$?
for name in "${known_failures[@]}"; do
    exact_pattern="^$(sed 's/[][\.*^$()+?|]/\\&/g' <<<"$name")\$"
    if ! [[ "${name%%/*}" =~ $selected ]]; then
        continue
    fi
    if ctest --test-dir "$build" --output-on-failure -R "$exact_pattern"; then
        echo "known failure: $name PASSED; remove its entry from KNOWN-RED.txt"
    else
        echo "known failure: $name failed"
    fi
    grep -F "$name " KNOWN-RED.txt
done
exit "$status"
