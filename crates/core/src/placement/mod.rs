//! Placement: which worker a call goes to.
//!
//! A call without parts of a prompt goes along a ring by consistent hashing with bounded loads
//! ([`PlacementTable::nominate`]). A call with parts goes to the worker that is expected to cost it
//! least ([`EngineModels::choose`]): a model of each engine, learned from its responses, gives the
//! expected time to first token, and rendezvous hashing gives the workers that likely keep the
//! prompt's prefix in their KV cache. Nodes decide alone; nothing here waits for other nodes.

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
