//! Waitlists.

mod fair_queue;

pub use fair_queue::{FairQueue, QueueRejection};
