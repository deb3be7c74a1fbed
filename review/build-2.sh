#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. It needs no
# network: the stand-in uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bed ./review/bed
