//! A whole fleet on loopback, as separate processes, with traffic and faults.

mod config;
mod judge;
mod node;
mod nodes;
mod platform;
mod rehearsal;
mod report;
mod setup;
mod spec;
mod traffic;
mod trial;

pub use config::{config_tree, tenant_key};
pub use judge::{Finding, Revocation, judge};
pub use node::Node;
pub use nodes::{Fleet, Metrics};
pub use rehearsal::{Outcomes, PrefixReuse, rehearse};
pub use setup::{apply_config, start_fleet, wait_for_workers};
pub use spec::FleetSpec;
pub use trial::{client, ensure, run_trial};
