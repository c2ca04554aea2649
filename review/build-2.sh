#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start; needs the packages that the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
