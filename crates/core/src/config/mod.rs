//! The configuration: checking of operators' documents, and the compiled form that nodes serve by.
//!
//! [`validate`] guarantees that a [`CompiledConfig`] only exists for a document without any error;
//! otherwise it lists all errors, each with its JSON pointer and remedy. [`Patch`] changes single
//! items of a document so that a small change costs little to agree on and to pass between nodes.

pub mod check;
mod compiled;
mod object_writer;
mod patch;

pub use check::{ConfigError, validate};
pub use compiled::{
    CompiledConfig, ConfigReader, Kind, Limit, Match, Measure, OnRevoke, PlacementWeights, Pool, Rate, Tenant,
    WindowQuota, effective,
};
pub use patch::{Item, ListPatch, Patch};
