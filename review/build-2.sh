#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file. The results are in target/review-2/. Needs nlohmann-json3-dev, which the
# deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-ins-2/fleet.cc \
  -o target/review-2/fleet
