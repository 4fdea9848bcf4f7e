#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in leave_case restart_case; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$it" \
    "review/standin-2/$it.cc" review/standin-2/fleet.cc
done
