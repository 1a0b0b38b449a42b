#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bergamotspur ] || [ ! -x target/review/bergamotreview ]; then
	echo 'build the project as deploy/system.toml says, then run review/build.sh' >&2
	exit 2
fi
exec target/review/bergamotreview leave review/4/record.txt
