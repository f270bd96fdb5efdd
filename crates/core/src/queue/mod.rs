//! Queues of calls that wait for a slot or for quota units.

mod fair_queue;

pub use fair_queue::{FairQueue, QueueRejection};
