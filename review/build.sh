#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs only g++ and the standard
# library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
build() {
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I standins \
        -o "bin/$1" "standins/$1.cc" standins/site.cc
}
for name in "$@"; do
    build "$name"
done
if [ $# -eq 0 ]; then
    for source in standins/*.cc; do
        name=$(basename "$source" .cc)
        [ "$name" = site ] || build "$name"
    done
fi
