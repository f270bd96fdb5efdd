//! The life of one call, from its head to its end, as a machine without I/O. The
//! types tell how far it has come; whoever carries it out opens, sends and passes.

mod admission_queues;
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
mod progress;
mod queue_entries;
mod rejections;
mod release;
mod state;
mod steps;

pub use body_budget::{BodyBudget, BodyReservation};
pub use caches::{Caches, ThreadCaches};
pub use context::{SharedCallState, StepContext};
pub use counters::{CallCounters, HELP_TEXTS as COUNT_HELP};
pub use holdings::{QuotaUnit, ReservedSlot};
pub use io::{BodyError, Effect, Effects, Event, RequestHead, ResponseHead, Wakeup};
pub use latency::{BUCKET_BOUNDS, HistogramSnapshot, LatencyHistogram};
pub use local_response::{LocalResponse, spread_retry_after};
pub use machine::CallMachine;
pub use rejections::{RejectionCounters, RejectionLog, RejectionReason};
