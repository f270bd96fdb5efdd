//! Worker membership: what is known of all workers, and their removals on the way to every node.
//!
//! [`WorkerTable`] merges the reports of workers, in whatever order they arrive, so that all nodes come to
//! know the same. [`Removals`] tracks which nodes know that a worker drains or left, so that the worker may
//! stop once no node sends it requests. Nothing here does I/O.

pub mod removals;
mod table;

pub use removals::{Removal, Removals, WaitingRequest};
pub use table::{MergeOutcome, REPORT_TIMEOUT, Subscriber, UnreachablePeriod, Upstream, WorkerEntry, WorkerTable};
