#!/usr/bin/env bash
# Builds the harness and the stand-ins of the cases 6 to 10 into target/review-2. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
mkdir -p target/review-2
sources=(review/harness-2/*.java)
for number in 6 7 8 9 10; do
  for file in review/$number/*.java; do
    [ -f "$file" ] && sources+=("$file")
  done
done
javac -d target/review-2 "${sources[@]}"
