#!/usr/bin/env bash
# Builds the stand-ins of the third review into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standin-3/standin.cc -o "$out/standin.o"
g++ "${flags[@]}" review/standin-3/free_ports.cc -o "$out/free_ports"
for it in review/standin-3/case_*.cc; do
  name=$(basename "$it" .cc)
  g++ "${flags[@]}" "$it" "$out/standin.o" -o "$out/$name"
done
