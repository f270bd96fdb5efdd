//! One call step by step: the effects of each event, and what the call holds then.

// A table of cases is one function, however long.
#![allow(clippy::too_many_lines)]

mod admission;
mod attempts;
mod exploration;
mod fixture;
mod streaming;
mod waiting;
