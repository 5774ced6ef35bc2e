#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
. bin/find-jdk || exit 2
exec "$JAVA_HOME/bin/java" -cp review/target/classes:target/gateway.jar EndlessAnswerCase review/3/record.txt
