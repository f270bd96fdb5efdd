//! Worker membership: the reports of all workers, and the dissemination of their removals to every node.
//!
//! [`WorkerTable`] merges the reports of workers in any order of arrival, so that all nodes converge to the same
//! state. [`Removals`] tracks which nodes know that a worker drains or has left, so that the worker may stop once no
//! node sends it requests. This module does no I/O.

pub mod removals;
mod subscriptions;
mod table;

pub use removals::{Removal, Removals, WaitingRequest};
pub use subscriptions::{Subscriber, Upstream};
pub use table::{MergeOutcome, REPORT_TIMEOUT, UnreachablePeriod, WorkerEntry, WorkerTable};
