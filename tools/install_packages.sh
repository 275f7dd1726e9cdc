#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < <(grep -v '^#' packages.txt)
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q
    apt-get install -q -y --no-install-recommends "${missing[@]}"
fi
