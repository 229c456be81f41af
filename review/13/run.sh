#!/usr/bin/env bash
# Runs the case; run deploy/build and review/build-3.sh first. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$(readlink -f "$0")")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -d "$root/target/review-3" ] || [ ! -x "$root/target/jdk/bin/java" ]; then
  echo "Run deploy/build and review/build-3.sh first." >&2
  exit 2
fi
exec "$root/target/jdk/bin/java" -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "$root/target/review-3:$root/target/libraries/*" SplitGuarantee "$root" "$folder"
