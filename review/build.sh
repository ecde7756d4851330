#!/bin/bash
# Builds the stand-ins and judges of this folder's scripts to target/review. Needs g++ alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
