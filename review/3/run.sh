#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
