#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread \
  -o target/review-2/review-cases review/standin-2/*.cpp
