#!/usr/bin/env bash
# Builds the stand-ins of the cases, without the project's own build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/standin.cc -o ../target/review/standin.o
for it in */driver.cc; do
  g++ "${flags[@]}" "$it" ../target/review/standin.o -o "../target/review/case-${it%/driver.cc}"
done
