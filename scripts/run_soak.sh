#!/usr/bin/env bash
# Compiles the project and plays the seeds of the short soak, or those that the
# arguments name, such as --seed 7 --seconds 60.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
if [ $# -eq 0 ]; then set -- --seed 6 23 --seconds 12; fi
exec node --enable-source-maps dist/soak/run_soak.js "$@"
