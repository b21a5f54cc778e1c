#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file. Needs only the toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-3 review/stand-3/main.rs
