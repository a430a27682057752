#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libquetzal-adapter.a ] || {
  echo "run the build line of deploy/system.toml first" >&2
  exit 2
}
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2
