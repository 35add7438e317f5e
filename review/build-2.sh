#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 use modules of Node.js only and need no build; this checks that they
# can be read. The program itself comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs [0-9]/case.mjs; do node --check "$file"; done
test -f ../target/cactusstair.cjs || echo "target/cactusstair.cjs is missing: run the build line of deploy/system.toml first"
