//! The sizes of the test fleets.

/// The size of a fleet and the rates of its traffic.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// The name on the command line and in the report.
    pub name: &'static str,
    /// The number of nodes that accept calls.
    pub fronts: usize,
    /// The number of workers of the pool `llm`.
    pub model_workers: usize,
    /// The number of workers of the pool `app`.
    pub app_workers: usize,
    /// The number of tenants; each has one key.
    pub tenants: usize,
    /// The number of calls to the application per second.
    pub lookup_rate: u64,
    /// The number of calls to the model per second.
    pub model_rate: u64,
    /// The repeated arrivals at a service that are allowed in ten seconds beside a fifth of its calls.
    pub retry_slack: u64,
}

impl FleetSpec {
    /// The deployment mtatsminda.
    pub const MTATSMINDA: FleetSpec = FleetSpec {
        name: "mtatsminda",
        fronts: 6,
        model_workers: 20,
        app_workers: 3,
        tenants: 8,
        lookup_rate: 40,
        model_rate: 120,
        retry_slack: 52,
    };
    /// The deployment derwent.
    pub const DERWENT: FleetSpec = FleetSpec {
        name: "derwent",
        fronts: 9,
        model_workers: 10,
        app_workers: 3,
        tenants: 8,
        lookup_rate: 25,
        model_rate: 60,
        retry_slack: 58,
    };
    /// The smallest fleet for tests, which send their own calls.
    pub const SMALL: FleetSpec = FleetSpec {
        name: "small",
        fronts: 2,
        model_workers: 3,
        app_workers: 2,
        tenants: 2,
        lookup_rate: 0,
        model_rate: 0,
        retry_slack: 52,
    };

    /// Returns the deployment with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<FleetSpec> {
        [Self::MTATSMINDA, Self::DERWENT].into_iter().find(|spec| spec.name == name)
    }
}
