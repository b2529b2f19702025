#!/bin/bash
# Builds the stand-ins that the cases start. They need the standard library alone, so this only
# compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
