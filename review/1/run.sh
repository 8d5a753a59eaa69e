#!/bin/sh
# TROUBLE=0 leaves out the SIGTERM.
exec python3 "$(dirname "$0")/run.py"
