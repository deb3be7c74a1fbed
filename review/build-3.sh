#!/bin/sh
# Builds the stand-ins of the third review's scripts, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3 ./review/stand3
