//! Placement: the choice of the worker that serves a call.
//!
//! A call without prompt parts is placed on a ring by consistent hashing with bounded loads
//! ([`PlacementTable::choose_by_ring`]). A call with prompt parts goes to the worker with the lowest
//! expected cost ([`EngineModels::choose`]): a model of each engine, learned from its responses,
//! gives the expected time to first token, and rendezvous hashing gives the workers that likely have
//! the prompt's prefix in their KV cache. Each node decides on its own, without waiting for others.

mod cost;
mod demand;
mod engine;
mod engines;
mod fit;
mod lengths;
mod loads;
mod pool_model;
mod prefix_cache;
mod prompt;
mod table;

pub use demand::PromptDemand;
pub use engines::{CallOutcome, EngineModels, PlacementContext};
pub use fit::PrefillFit;
pub use lengths::{LengthClass, PromptLengths};
pub use loads::WorkerLoads;
pub use prefix_cache::PrefixCache;
pub use prompt::{PromptRequest, PromptSegment};
pub use table::{Endpoint, PlacementTable};
