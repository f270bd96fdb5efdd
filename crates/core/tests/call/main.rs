//! Tests of the call machine: the effects of each event, and the resources that the call holds afterwards.

// A test function with a table of cases may be long.
#![allow(clippy::too_many_lines)]

mod admission;
mod attempts;
mod exploration;
mod fixture;
mod silence;
mod streaming;
mod waiting;
