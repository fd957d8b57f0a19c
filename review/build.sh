#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the compiler that
# the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=gnu11 -O2 -g -Wall -Wextra -pthread)
"${CC:-cc}" "${flags[@]}" -o target/review/ports \
    review/standin/ports.c review/standin/http.c
for source in review/*/case.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	"${CC:-cc}" "${flags[@]}" -o "target/review/case-$number" \
	    "$source" review/standin/fleet.c review/standin/http.c
done
