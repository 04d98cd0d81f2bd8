#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs under test are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/harness ./review/harness
