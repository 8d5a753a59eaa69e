#!/bin/sh
# Checks that the stand-ins compile; they use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins.py [1-5]/run.py
