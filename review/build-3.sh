#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules of Node.js,
# so that only their syntax is checked; nothing is installed or compiled.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/main.mjs; do
  node --check "$file"
done
