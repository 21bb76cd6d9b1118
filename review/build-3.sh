#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need the standard library
# of Python 3.11 only; the compiled files go to target/.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review-3 exec python3 -m compileall -q review/standin3
