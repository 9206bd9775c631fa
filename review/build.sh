#!/bin/sh
# The stand-ins of the scripted cases are plain modules of Node.js, so nothing
# is compiled. Checks that each of them can be loaded. The daemon itself is
# built by the deploy file.
set -e
cd "$(dirname "$0")"
for module in standins/*.mjs */case.mjs; do
  node --check "$module"
done
