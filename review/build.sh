#!/usr/bin/env bash
# Builds the scenario programs of the cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for scenario in review/[0-9]/scenario.cpp; do
  case=$(basename "$(dirname "$scenario")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o "build-review/case_$case" "$scenario" review/common/*.cpp
done
