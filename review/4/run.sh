#!/bin/sh
# Runs this case; TROUBLE=0 leaves the disruption out. Build with the deploy file's line and
# review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
exec bin/review-standin release review/4
