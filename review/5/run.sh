#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$(readlink -f "$0")")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -d "$root/target/review-classes" ] || exit 2
exec "$root/target/jdk/bin/java" -Xmx256m -cp "$root/target/review-classes:$root/target/libraries/*" \
  review.StarvedBesideUrgent "$root" "$here"
