#!/usr/bin/env bash
# Builds the stand-ins of the cases 13 and 14. Needs g++ and
# nlohmann-json3-dev, which the deploy file declares.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-ins-3/fleet.cc \
  -o build/review-3/fleet
