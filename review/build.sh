#!/bin/sh
# The stand-ins are plain JavaScript on Node.js, so that there is nothing to
# compile: this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
