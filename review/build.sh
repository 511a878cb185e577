#!/usr/bin/env bash
# Builds the stand-ins of the cases. They have a build tag, so that CI and the default tests leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/.standin ./review
