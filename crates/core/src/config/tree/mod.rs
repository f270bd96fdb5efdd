//! The plan that follows from a document.

mod effective;
mod plan;

pub use effective::{Reader, effective};
pub use plan::{Kind, Limit, Match, Measure, OnRevoke, Placement, Plan, Pool, Quota, Rate, Tenant};
