#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies: they are only checked, not compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
