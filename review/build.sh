#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the review's own program, which serves
# the project's stand-in of the platform's store too. It needs no network once the build of the
# deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS="${GOFLAGS:-} -mod=readonly" go build -o target/review-standin ./review/standin
