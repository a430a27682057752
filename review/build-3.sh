#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Run it after the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S review/standin-3 -B target/review-3 -G Ninja >/dev/null
cmake --build target/review-3
