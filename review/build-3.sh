#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, after the build of the deploy
# file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
generated=$(find Source/Basilgap/Schema/Generated target -name State.pb.h -printf '%h\n' | head -n 1)
packages="libevent libnghttp2 libglog protobuf yaml-cpp libxxhash openssl"
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-restrict \
  -I Source -I . -I "$generated" -I review/standin-3 \
  review/standin-3/Executor.cpp review/standin-3/Cell.cpp review/standin-3/cases.cpp \
  -o "$out/case" target/platform/libplatform.a target/Source/Basilgap/libbasilgap.a \
  target/Source/Basilgap/Schema/libbasilgap_schema.a \
  $(pkg-config --cflags --libs $packages)
