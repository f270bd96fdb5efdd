#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs no network: the crate has no dependency.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir review/standin-2/target
