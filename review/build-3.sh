#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs the JDK only; the programs are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/stand-ins-3/*.java
