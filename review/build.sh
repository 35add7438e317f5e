#!/bin/sh
# The scripts' stand-ins are plain JavaScript modules in review/common, started by Node.js as they
# are, and none of the project's own stand-ins is used: there is nothing to compile. This checks
# that they parse and that the program of the deploy file has been built.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.mjs review/[1-5]/case.mjs; do
  [ -e "$file" ] && node --check "$file"
done
test -s target/cactusstair.cjs || { echo 'run the build line of deploy/system.toml first' >&2; exit 1; }
