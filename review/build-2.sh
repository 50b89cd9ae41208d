#!/bin/sh
# Builds the stand-ins of the second review, with the standard library alone, into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2.rs
