//! One call step by step: the effects of each event, and what the call holds then.

mod admission;
mod attempts;
mod exploration;
mod fixture;
mod streaming;
mod waiting;
