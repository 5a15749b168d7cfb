#!/bin/sh
exec python3 "$(dirname "$0")/stale_granter.py"
