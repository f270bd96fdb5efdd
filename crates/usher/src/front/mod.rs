//! The way of a call: a chain of filters that each may answer.

mod answer;
mod call;
mod chain;
mod filter;
mod flow;
mod send;

pub use answer::{Answer, back_after};
pub use chain::serve;
