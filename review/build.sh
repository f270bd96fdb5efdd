#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/standin"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
