#!/bin/sh
# Builds what the scripts of this review start beside the deploy file's programs.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/small.py review/standins.py review/6 review/7 review/8 review/9 review/10
