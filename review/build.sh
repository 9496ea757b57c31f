#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/[1-5]/; do
	if [ -f "${dir}main.go" ]; then
		go build -o "target/review/case-$(basename "$dir")" "./$dir"
	fi
done
