//! Queues of calls that wait for a slot or a quota unit.

mod fair_queue;

pub use fair_queue::{FairQueue, QueueRejection};
