#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into out/review-2. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../out/review-2
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../../out/review-2/rig .
