#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Needs the JDK that the project is built with.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/kit-3/*.java
