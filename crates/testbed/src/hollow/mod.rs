//! Hollow nodes: the real control machines over virtual time, with workers, tenants and
//! operators that are rates only, so that one process shows what a fleet of hundreds costs.

// These trials are removed with the next work on size; nothing is spent on them until then.
#![allow(missing_docs, clippy::many_single_char_names, clippy::too_many_lines, clippy::unnested_or_patterns)]

mod cli;
mod draw;
mod fit;
mod load;
mod meter;
mod parts;
mod sweep;
mod tally;
mod world;

pub use cli::cli;
pub use fit::{Fit, fit};
pub use meter::Counting;
pub use sweep::{Axis, SWEEPS};
pub use tally::{GROUPS, Role, Row, Tally};
pub use world::{Outcome, run};

use sumacvale_core::base::{MS, Micros, SEC};

/// The size of a hollow fleet and what is asked of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    pub nodes: u64,
    /// Nodes with a disk, and how many of them vote.
    pub cores: u64,
    pub voters: u64,
    pub zones: u64,
    pub regions: u64,
    pub workers: u64,
    pub pools: u64,
    pub tenants: u64,
    pub matches: u64,
    /// Calls a second over all tenants and nodes that don't vote.
    pub calls: u64,
    /// Changes of the configuration in a thousand seconds.
    pub changes: u64,
    /// How often each worker reports, to one core.
    pub beat: Micros,
    pub warm: Micros,
    pub secs: u64,
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            nodes: 24,
            cores: 3,
            voters: 3,
            zones: 3,
            regions: 1,
            workers: 0,
            pools: 2,
            tenants: 20,
            matches: 25,
            calls: 0,
            changes: 0,
            beat: 1_200 * MS,
            warm: 6 * SEC,
            secs: 10,
            seed: 1,
        }
    }
}

impl Shape {
    /// Sizes that no fleet can have, with what to do about it.
    pub fn check(&self) -> Result<(), String> {
        let bad = [
            (self.voters == 0 || self.voters > self.cores, "--voters: from one to as many as --cores"),
            (self.cores >= self.nodes, "--cores: fewer than --nodes"),
            (self.nodes > 2_000, "--nodes: at most 2000"),
            (self.workers > 50_000, "--workers: at most 50000"),
            (self.beat == 0, "--beat-ms: at least 1"),
            (self.zones == 0 || self.regions == 0 || self.pools == 0, "--zones, --regions, --pools: at least one"),
            (self.tenants == 0 && self.calls > 0, "--calls: needs --tenants"),
        ];
        bad.iter().find(|b| b.0).map_or(Ok(()), |b| Err(b.1.to_owned()))
    }
}
