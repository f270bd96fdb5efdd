//! The data plane's I/O: reads calls, connects to workers, sends attempts and forwards responses, as the
//! state machine of each call decides.

mod body;
mod call_task;
mod headers;
mod local_response;
mod serve;

pub use serve::serve;
