//! The plan that follows from a document.

mod effective;
mod plan;

pub use effective::{Reader, effective};
pub use plan::{
    CompiledConfig, Kind, Limit, Match, Measure, OnRevoke, PlacementWeights, Pool, Rate, Tenant, WindowQuota,
};
