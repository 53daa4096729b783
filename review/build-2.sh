#!/usr/bin/env bash
# Compiles the stand-ins and clients of the cases 6 to 10 into target/review-2. They need a JDK only.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-ins-2/*.java
