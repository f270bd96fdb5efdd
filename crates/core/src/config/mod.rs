//! The configuration: validation of operators' documents, and the compiled form that nodes use.
//!
//! [`validate`] returns a [`CompiledConfig`] only for a document without errors; otherwise it returns
//! all errors, each with its JSON pointer and remedy. [`Patch`] changes single items of a document,
//! so that a small change is cheap to decide and to replicate.

pub mod check;
mod compiled;
mod object_writer;
mod patch;

pub use check::{ConfigError, validate};
pub use compiled::{
    CompiledConfig, ConfigReader, Match, PlacementWeights, Pool, QuotaLimit, QuotaMeasure, Rate, RevocationPolicy,
    Tenant, TrafficKind, WindowQuota, effective_settings,
};
pub use patch::{Item, ListPatch, Patch};
