#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, with the libraries that the build of the deploy file leaves.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf review/harness-3/target
mkdir -p review/harness-3/target/classes
javac -nowarn -d review/harness-3/target/classes -cp "application/target/lib/*" \
    review/harness-3/src/test/java/review3/*.java
