#!/usr/bin/env bash
# Builds the program of each case from 6 on into build-review-2/: the stand-ins around the nodes of that case.
# Needs a C++20 compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/*/play.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/play_$number" "$source"
done
