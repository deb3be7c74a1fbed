#!/bin/sh
# Plays this case; the header of claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/pointportd ] || [ ! -x target/review-3 ]; then
	echo "build first: as deploy/system.toml says, then review/build-3.sh" >&2
	exit 2
fi
exec target/review-3 wave-of-new review/13/record.txt
