#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/stand-ins/review/*.java
