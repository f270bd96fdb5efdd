//! State, commands and call events that all tasks of this process share.

mod call_events;
mod command;
mod state;

pub use call_events::CallEvents;
pub use command::Command;
pub use state::{PublishedVersion, Shared};
