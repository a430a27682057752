#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p review/bin
g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers \
  -DMSGPACK_USE_STD_VARIANT_ADAPTOR -I. \
  review/standin/*.cpp -o review/bin/review-world
