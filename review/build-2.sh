#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripts of the cases 6 to 10 start.
set -eu
root=$(cd "$(dirname "$(readlink -f "$0")")/.." && pwd)
cd "$root"
jdk=$(bin/find-jdk)
mkdir -p target/review-2
"$jdk/bin/javac" -Xlint:all -Werror -d target/review-2 review/standins-2/*.java
