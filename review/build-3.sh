#!/bin/sh
# Builds the stand-ins of review 3: they are of the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/11 review/12 review/13 review/14 review/15 \
    review/small_deployment.py review/model_worker.py review/model_workers.py
