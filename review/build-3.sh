#!/usr/bin/env bash
# Compiles the stand-ins of the cases 11 to 15 to target/review-3; run after deploy/build.
set -eu
root=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
cd "$root"
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -nowarn -cp "target/libraries/*" -d target/review-3 review/standins-3/*.java
