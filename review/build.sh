#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../bin/rig .
