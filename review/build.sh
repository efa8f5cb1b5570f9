#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases with the compiler alone; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.rs; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A warnings --crate-name "case$name" -o "target/review/case$name" "$source"
done
