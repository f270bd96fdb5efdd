//! Runs in which one core at a time is partitioned for up to twenty seconds, in both directions or
//! one, while operators submit competing changes and workers report and deregister. Checked is
//! what each core responds, how soon, and whether the response holds.

mod answers;
mod callers;
mod calls;
mod judge;
mod results;

pub use results::{CallerKind, PartitionResults, PartitionRun};

use crate::sim::checks::safety::Violation;
use crate::sim::world::World;
use callers::{Document, Operator, PendingRequest, Reporter};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, SEC};

const CORES: usize = 3;
const FRONTS: usize = 3;
const WORKERS: usize = 9;
/// The time between two reports of a worker.
const REPORT_INTERVAL: Micros = 1_200 * MS;
/// The virtual time between two rounds of the driver.
const ROUND_INTERVAL: Micros = 5 * MS;

/// A core that is partitioned now.
#[derive(Clone, Copy)]
struct Partition {
    core: usize,
    started_at: Micros,
    ends_at: Micros,
}

/// The partition that ended last.
#[derive(Clone, Copy)]
struct EndedPartition {
    core: usize,
    ended_at: Micros,
}

/// The state of one run: the world, its callers, and the results so far.
struct Driver {
    world: World,
    /// Requests without a response so far, by request id.
    pending_requests: BTreeMap<u64, PendingRequest>,
    operators: [Operator; 2],
    reporters: Vec<Reporter>,
    /// The number given last to a request, a document or a worker; each number is given once.
    last_serial: u64,
    partition: Option<Partition>,
    last_partition: Option<EndedPartition>,
    /// The core that acknowledged a change last.
    last_acknowledging_core: usize,
    /// Acknowledged documents, in the order of their acknowledgements.
    acknowledged: Vec<Document>,
    /// The bodies of rejected documents; none of them may ever be committed.
    rejected_bodies: BTreeSet<String>,
    /// The newest revision that was acknowledged when each pending read was sent, by request id.
    newest_before_read: BTreeMap<u64, u64>,
    results: PartitionResults,
}

/// Runs one simulation with partitioned cores and returns its results.
pub fn run_partitions(run: PartitionRun) -> PartitionResults {
    let mut world = World::new(run.seed, CORES, FRONTS, 0);
    world.report_interval = REPORT_INTERVAL;
    for i in 0..world.machines.len() {
        world.start(i);
    }
    let started_at = world.now + 5 * SEC;
    world.run(started_at);
    let end = world.now + run.seconds * SEC;
    world.frame_loss = (run.loss_percent, end);
    if run.has_slow_disks {
        world.machines.iter_mut().for_each(|machine| machine.disk.slow_until = end);
    }
    let reporters = (0..WORKERS).map(|i| Reporter::new(format!("v{i}"), i % CORES, world.now)).collect();
    let mut driver = Driver {
        world,
        pending_requests: BTreeMap::new(),
        operators: Default::default(),
        reporters,
        last_serial: 0,
        partition: None,
        last_partition: None,
        last_acknowledging_core: 0,
        acknowledged: Vec::new(),
        rejected_bodies: BTreeSet::new(),
        newest_before_read: BTreeMap::new(),
        results: PartitionResults::default(),
    };
    driver.run(end);
    driver.check_final_state();
    driver.results
}

impl Driver {
    /// Records a violation with the virtual time.
    fn record_violation(&mut self, message: String) {
        let now = self.world.now;
        self.results.violations.push(Violation(format!("{now}: {message}")));
    }

    /// Runs the world and its callers until `end`.
    fn run(&mut self, end: Micros) {
        let mut next_partition = self.world.now + 3 * SEC;
        while self.world.now < end {
            let now = self.world.now + ROUND_INTERVAL;
            self.world.run(now);
            self.handle_responses();
            self.expire_requests();
            if self.partition.is_some_and(|partition| partition.ends_at <= now) {
                self.last_partition =
                    self.partition.take().map(|partition| EndedPartition { core: partition.core, ended_at: now });
            }
            if now >= next_partition && self.partition.is_none() {
                next_partition = self.start_partition(now);
            }
            self.submit_due_changes(now);
            self.send_due_reports(now);
            if self.world.rng.next_below(1_000) < 15 {
                self.send_read();
            }
        }
    }

    /// Partitions a core and returns when the next partition is due.
    fn start_partition(&mut self, now: Micros) -> Micros {
        let duration = [4 * SEC, 10 * SEC, 20 * SEC][usize::try_from(self.world.rng.next_below(3)).unwrap_or(0)];
        let drawn = usize::try_from(self.world.rng.next_below(CORES as u64)).unwrap_or(0);
        let core = if self.world.rng.chance_percent(60) { self.last_acknowledging_core } else { drawn };
        let (receives, sends) =
            [(false, false), (false, true), (true, false)][usize::try_from(self.world.rng.next_below(3)).unwrap_or(0)];
        // The core is partitioned from the other cores only, or from all machines.
        let peers = if self.world.rng.chance_percent(50) { CORES } else { self.world.machines.len() };
        for peer in (0..peers).filter(|peer| *peer != core) {
            if !receives {
                self.world.blocked_links.insert((peer, core), now + duration);
            }
            if !sends {
                self.world.blocked_links.insert((core, peer), now + duration);
            }
        }
        self.world.log(format!(
            "core {core} partitioned for {duration} us from {peers} machines, receives {receives}, sends {sends}"
        ));
        self.partition = Some(Partition { core, started_at: now, ends_at: now + duration });
        now + duration + 5 * SEC
    }
}
