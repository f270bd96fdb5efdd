//! What is known of workers, and how it spreads.

pub mod removals;
mod table;

pub use removals::{Removal, Removals};
pub use table::{MergeOutcome, REPORT_TIMEOUT, Subscriber, Upstream, WorkerEntry, WorkerTable};
