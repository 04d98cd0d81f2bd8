#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
GOPROXY=off go build -tags review -o review/bin/standins-2 ./review/standins-2
