#!/bin/sh
# Builds the stand-ins of review/standins-2 into target/review-2, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac -encoding UTF-8 --release 17 -cp "$root/target/lib/*" -d "$root/target/review-2" \
  "$root"/review/standins-2/*.java
