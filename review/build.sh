#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
cd "$root"
mkdir -p target/review-classes
target/jdk/bin/javac -nowarn -d target/review-classes -cp 'target/libraries/*' \
  review/standins/review/*.java
