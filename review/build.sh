#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "bin/$(basename "$source" .cpp)" &
done
for job in $(jobs -p); do wait "$job"; done
