//! Worker membership: the reports of all workers, and the dissemination of their removals to every node.
//!
//! [`WorkerTable`] merges the reports of workers in any order of arrival, so that all nodes converge to the same
//! state. [`Removals`] tracks which nodes know that a worker drains or has left, so that the worker may stop once no
//! node sends it requests. This module does no I/O.

pub mod removals;
mod table;

pub use removals::{Removal, Removals, WaitingRequest};
pub use table::{MergeOutcome, REPORT_TIMEOUT, Subscriber, UnreachablePeriod, Upstream, WorkerEntry, WorkerTable};
