//! The configuration: documents checked, and the plan that nodes serve by.

pub mod check;
mod patch;
pub mod tree;

pub use check::{Trouble, judge};
pub use patch::{Item, ListPatch, Patch};
pub use tree::{Kind, Limit, Match, Measure, OnRevoke, Placement, Plan, Pool, Quota, Rate, Reader, Tenant, effective};
