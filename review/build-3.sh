#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases in review/11 to review/15 to target/review-3; case 13
# uses those of review/harness-2. They need only the JDK; the gateway itself comes from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
rm -rf target/review-3
mkdir -p target/review-3/case-13
javac -d target/review-3 review/harness-3/*.java
javac -d target/review-3/case-13 review/harness-2/*.java review/13/QuotaFreeze.java
