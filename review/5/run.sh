#!/usr/bin/env bash
# Plays the case cap-lowered; see claim.txt. It needs the build of the deploy file and review/build-2.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/pointportd ] || [ ! -x target/review-bed ]; then
	echo "build the deploy file's programs and run review/build-2.sh first" >&2
	exit 2
fi
exec target/review-bed cap-lowered review/5
