#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review2
cp review/standin2/*.py target/review2/
python3 -m compileall -q target/review2
