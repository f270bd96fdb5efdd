//! The layered cache of the design: L1 for each thread, L2 for the process,
//! one fetch for each key. It decides nothing; it holds what was last learned.

mod events;
mod found;
mod get;
mod l1;
mod l2;
mod opts;

pub use events::{Change, Log};
pub use found::{Found, Lock, Look, Peek};
pub use get::{Step, get};
pub use l1::L1;
pub use l2::L2;
pub use opts::{CacheOptions, Fetched, LookupContext, Soft, Ttl};
