#!/bin/sh
# Builds the stand-ins of the review's scripts; they are Python and need no more than
# the modules in target/deps, which the deploy file's build has put there.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review
PYTHONPATH=target/deps python3 -c "import review.harness, review.worker"
