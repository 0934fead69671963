#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review (review/6 to review/10). They need only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/harness-2"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target $(find src -name '*.java')
