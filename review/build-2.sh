#!/bin/bash
# The stand-ins of the cases 6 to 10 are plain JavaScript modules that need no
# build. This checks that they can be read, and that the deploy file was built.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
[ -f target/bramleystep-entry.cjs ] || npm run --silent build:entry
