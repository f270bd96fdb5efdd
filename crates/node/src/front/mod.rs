//! Carries the life of a call out: reads, opens, sends and passes what it says.

mod body;
mod call_task;
mod headers;
mod local_response;
mod serve;

pub use serve::serve;
