#!/usr/bin/env bash
# Builds the project's stand-in of the division platform beside the daemons of the deploy file, in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF >/dev/null
cmake --build target -j8 --target standin_division
