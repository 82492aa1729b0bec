#!/usr/bin/env bash
# Builds the stand-ins of the cases with the libraries that the project's own build has laid into target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/standins/review/*.java
