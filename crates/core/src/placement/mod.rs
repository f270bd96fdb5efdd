//! Which worker a call goes to.

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
