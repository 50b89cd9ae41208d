#!/bin/bash
# Builds the stand-ins that the scripts of this review start. Needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
