#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the deploy build; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/rig-3 .
