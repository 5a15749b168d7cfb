#!/bin/sh
exec python3 "$(dirname "$0")/broken_off_download.py"
