//! The configuration: documents checked, and the plan that nodes serve by.

pub mod check;
mod patch;
pub mod tree;

pub use check::{ConfigError, validate};
pub use patch::{Item, ListPatch, Patch};
pub use tree::{
    CompiledConfig, Kind, Limit, Match, Measure, OnRevoke, PlacementWeights, Pool, Rate, Reader, Tenant, WindowQuota,
    effective,
};
