#!/bin/sh
# Builds the stand-ins and checks of the second review. They need nothing but the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -d target/review-2 review/standins-2/*.java
