#!/usr/bin/env bash
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" && exec node case.mjs
