//! What all tasks of this process share.

mod call_events;
mod state;

pub use call_events::CallEvents;
pub use state::{Command, PublishedVersion, Shared};
