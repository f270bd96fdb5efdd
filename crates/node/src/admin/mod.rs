//! The admin API for operators, workers and probes, and the routes of both HTTP listeners.

mod config;
mod metrics;
mod nodes;
mod report;
mod responses;
mod routes;

pub use config::body;
pub use routes::{admin, downstream};
