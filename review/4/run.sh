#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/moorspool-fleet-gateway ] && [ -x target/moorspool-fleet-control ] && [ -x review/bin/standins-2 ] || exit 2
exec review/bin/standins-2 -case runaway -programs target -record review/4/record.txt
