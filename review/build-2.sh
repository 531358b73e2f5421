#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 6 to 10. They are plain JavaScript without
# dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
