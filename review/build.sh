#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
