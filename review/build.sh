#!/bin/sh
# Compiles the stand-ins and the cases with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target kit/*.java [0-9]*/*.java
