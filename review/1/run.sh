#!/bin/sh
exec python3 "$(dirname "$0")/zone_without_entries.py"
