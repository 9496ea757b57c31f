#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. The programs of the project come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand3 ./review/stand3
