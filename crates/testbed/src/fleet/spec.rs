//! The sizes of the fleets that are tried.

/// The sizes of a fleet and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct FleetSpec {
    /// Its name on the command line and in the report.
    pub name: &'static str,
    /// Nodes that take calls.
    pub fronts: usize,
    /// Workers of the pool `llm`.
    pub model_workers: usize,
    /// Workers of the pool `app`.
    pub app_workers: usize,
    /// Tenants, each with a key.
    pub tenants: usize,
    /// Calls to the application in a second.
    pub lookup_rate: u64,
    /// Calls to the model in a second.
    pub model_rate: u64,
}

impl FleetSpec {
    /// The deployment mtatsminda of the brief.
    pub const MTATSMINDA: FleetSpec = FleetSpec {
        name: "mtatsminda",
        fronts: 6,
        model_workers: 20,
        app_workers: 3,
        tenants: 8,
        lookup_rate: 40,
        model_rate: 120,
    };
    /// The deployment derwent of the brief.
    pub const DERWENT: FleetSpec = FleetSpec {
        name: "derwent",
        fronts: 9,
        model_workers: 10,
        app_workers: 3,
        tenants: 8,
        lookup_rate: 25,
        model_rate: 60,
    };
    /// The smallest fleet in which anything can be tried; it has no traffic of its own.
    pub const SMALL: FleetSpec = FleetSpec {
        name: "small",
        fronts: 2,
        model_workers: 3,
        app_workers: 2,
        tenants: 2,
        lookup_rate: 0,
        model_rate: 0,
    };

    /// The deployment of this name.
    #[must_use]
    pub fn named(name: &str) -> Option<FleetSpec> {
        [Self::MTATSMINDA, Self::DERWENT].into_iter().find(|spec| spec.name == name)
    }
}
