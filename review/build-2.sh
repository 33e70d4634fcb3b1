#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file. The results are in target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in minion; do
  g++ -std=c++20 -O1 -Isrc "review/stand-ins-2/$name.cc" -o "target/review-2/$name" \
    target/libalmond.a target/libalmond_gen.a target/libalmond_easylogging.a \
    -levent -lthrift -lcrypto -lgflags
done
