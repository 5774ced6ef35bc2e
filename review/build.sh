#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Needs the build of the deploy file: its jar contains the
# JSON library that the stand-in of the platform's store uses.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
rm -rf review/target
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -Xlint:all,-serial -cp target/gateway.jar -d review/target/classes \
    review/standins/*.java
