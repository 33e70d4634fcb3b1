#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libalmond.a ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
mkdir -p target/review
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -Wall -Wextra -D ELPP_NO_DEFAULT_LOG_FILE -I src -I review/standin \
  review/standin/*.cc -o target/review/standin \
  target/libalmond.a target/libalmond_gen.a target/libalmond_easylogging.a \
  $(pkg-config --libs libevent thrift yaml-cpp libcrypto)
