#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/harness"
mkdir -p target/classes
javac -d target/classes --release 17 src/test/java/review/*.java
