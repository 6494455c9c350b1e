#!/usr/bin/env bash
# Builds what the scripts of this review start beside the deploy file's build
# line: nothing. Their stand-ins in review/second/ use the standard library
# alone and run from their sources.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
