//! A whole fleet on loopback: one process per node, with traffic and injected faults.

mod config;
mod judge;
mod load_balancer;
mod node;
mod nodes;
mod report;
mod retry_soak;
mod scenario;
mod setup;
mod spec;
mod stop_soak;
mod traffic;
mod trial;

pub use config::{config_tree, tenant_key};
pub use judge::{Finding, Revocation, check_invariants};
pub use node::Node;
pub use nodes::{Fleet, Metrics, ShutdownTimes};
pub use retry_soak::{RetrySoak, RetrySoakOutcome, run_retry_soak};
pub use scenario::{PrefixReuse, ScenarioOutcome, run_scenario};
pub use setup::{apply_config, start_fleet, wait_for_workers};
pub use spec::FleetSpec;
pub use stop_soak::{StopSoak, StopSoakOutcome, run_stop_soak};
pub use trial::{client, ensure, run_async_test};
