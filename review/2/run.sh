#!/bin/sh
# TROUBLE=0 leaves out the unreadable entry.
exec python3 "$(dirname "$0")/run.py"
