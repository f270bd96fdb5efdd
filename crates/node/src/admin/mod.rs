//! The admin API for operators, workers and probes, and the routes of both HTTP listeners.

mod config;
mod metrics;
mod nodes;
mod report;
mod responses;
mod routes;

pub use config::read_body;
pub use routes::{admin_routes, client_routes};
