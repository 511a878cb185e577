#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. It needs the Go toolchain and nothing else.
set -euo pipefail
cd "$(dirname "$0")/kit2"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/kit2 .
