#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
