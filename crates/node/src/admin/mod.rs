//! What operators, workers and probes can ask of a node.

mod config;
mod metrics;
mod nodes;
mod report;
mod responses;
mod routes;

pub use config::body;
pub use routes::{admin, downstream};
