//! The state machine of one call, from the head of its request to the end of its response, without I/O.
//!
//! [`CallMachine`] takes [`Event`]s and returns [`Effects`]. The phases of a call are types, so that
//! a quota unit or a slot can only be used while the call holds one:
//! received → routed → body read → quota granted → connecting → awaiting head → streaming → finished.
//! [`SharedCallState`] holds what all calls of a process share: queues, caches, loads and counters.

mod abort;
mod body_budget;
mod caches;
mod context;
mod counters;
mod holdings;
mod io;
mod latency;
mod local_response;
mod lookup;
mod machine;
mod placement_tables;
mod progress;
mod queue_entries;
mod queue_expiry;
mod quota_queue;
mod rejections;
mod release;
mod slot_queue;
mod state;
mod steps;

pub use abort::{AbortCause, AbortCounters, FailoverObstacle, ResponseAbort};
pub use body_budget::{BodyBudget, BodyReservation};
pub use caches::{Caches, ThreadCaches};
pub use context::{SharedCallState, StepContext};
pub use counters::{DataPlaneCounters, HELP_TEXTS as COUNTER_HELP_TEXTS};
pub use holdings::{QuotaUnit, ReservedSlot};
pub use io::{BodyError, Effect, Effects, Event, RequestHead, ResponseEvent, ResponseHead, Wakeup};
pub use latency::{BUCKET_BOUNDS, HistogramSnapshot, LatencyHistogram};
pub use local_response::{LocalResponse, spread_retry_after};
pub use machine::CallMachine;
pub use rejections::{RejectionCounters, RejectionLog, RejectionReason};
