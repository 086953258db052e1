#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 9 start. Needs the JDK that the project is built with.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
