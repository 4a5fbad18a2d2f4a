#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers review/standin/*.cpp \
  $(pkg-config --cflags --libs libevent) -o target/review/review-case
