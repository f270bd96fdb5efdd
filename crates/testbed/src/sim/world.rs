//! The state of a simulated world and its queue of what happens next.

use crate::sim::calls::outcome::CallOutcome;
use crate::sim::checks::safety::SafetyChecker;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::Disk;
use crate::sim::machines::slot::Machine;
use crate::sim::network::connections::Connections;
use crate::sim::operators::documents::TENANTS;
use crate::sim::workers::worker::{ExecutionRecord, Worker};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::protocol::ChangeOutcome;

/// Machines, wires, disks and what happens next, all drawn from one seed.
pub struct World {
    pub now: Micros,
    pub rng: Rng,
    pub slots: Vec<Machine>,
    pub workers: Vec<Worker>,
    pub check: SafetyChecker,
    pub answers: Vec<(u64, ChangeOutcome)>,
    /// Pairs of machines between which nothing passes, until when.
    pub cuts: BTreeMap<(usize, usize), Micros>,
    /// Pairs of machines between which what is sent comes when the stall ends.
    pub stalled: BTreeMap<(usize, usize), Micros>,
    /// How often senders try to connect to a machine that they are cut off from, where they know that they
    /// are: what they send waits for it. Without an entry it is lost.
    pub attempts: BTreeMap<(usize, usize), Micros>,
    /// What machines have open to one another.
    pub connections: Connections,
    pub loss: (u64, Micros),
    pub jam: Micros,
    /// Machines whose frames wait until then.
    pub holds: BTreeMap<usize, Micros>,
    pub frames: u64,
    pub bytes: u64,
    /// Frames and bytes between zones by the kind of message.
    pub far: BTreeMap<&'static str, (u64, u64)>,
    pub trace: Vec<String>,
    /// What workers ran and what downstreams saw.
    pub ran: Vec<ExecutionRecord>,
    pub seen: Vec<CallOutcome>,
    pub calls: u64,
    pub tenants: u64,
    /// How many more matches some configurations have.
    pub grown: u64,
    /// Tenants have a rate with a burst in the place of a window.
    pub rates: bool,
    /// Shares of the kinds of calls, summed up: lookups, bookings, drafts, chats, summaries.
    pub mix: [u64; 5],
    /// How many times its usual traffic one tenant has, and until when.
    pub crowd: (u64, Micros),
    /// Until when all calls share one prefix.
    pub hot: Micros,
    /// Cores see to their membership themselves and bear the loss of so many.
    pub lose: u32,
    /// Machines that go for good soon.
    pub leaving: BTreeSet<usize>,
    /// Nobody founds a fleet once this is false.
    pub first: bool,
    pub slept: Vec<(usize, Micros, Micros)>,
    /// First and second tries of processes that are gone.
    pub tries: (u64, u64),
    pub resumed: u64,
    pub reseated: u64,
    /// How often workers report; over half a second each reports to one core only.
    pub beat: Micros,
    /// A machine that a third of the workers report to first, until when.
    pub lure: Option<(usize, Micros)>,
    /// The front that began to answer a call last, and when.
    pub accepted: Option<(usize, Micros)>,
    /// What workers were answered.
    pub heard: Vec<(u64, bool)>,
    pub units_ended: u64,
    /// Writes that full disks refused.
    pub refused_writes: u64,
    pub(in crate::sim) heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    pub(in crate::sim) what: BTreeMap<u64, SimEvent>,
    pub(in crate::sim) n: u64,
    pub(in crate::sim) next_ip: u32,
}

pub const MIX: [u64; 5] = [30, 40, 58, 91, 100];
pub const TICK: Micros = 25 * MS;
/// Workers of the application service beside those of the model.
pub const APPS: usize = 3;

impl World {
    pub fn new(seed: u64, cores: usize, fronts: usize, workers: usize) -> Self {
        let mut w = World {
            now: SEC,
            rng: Rng::new(seed),
            slots: Vec::new(),
            workers: Vec::new(),
            check: SafetyChecker::default(),
            answers: Vec::new(),
            cuts: BTreeMap::new(),
            stalled: BTreeMap::new(),
            attempts: BTreeMap::new(),
            connections: Connections::default(),
            loss: (0, 0),
            jam: 0,
            holds: BTreeMap::new(),
            frames: 0,
            bytes: 0,
            far: BTreeMap::new(),
            trace: Vec::new(),
            ran: Vec::new(),
            seen: Vec::new(),
            calls: 0,
            tenants: TENANTS,
            grown: 0,
            rates: false,
            mix: MIX,
            crowd: (1, 0),
            hot: 0,
            lose: 0,
            leaving: BTreeSet::new(),
            first: true,
            slept: Vec::new(),
            tries: (0, 0),
            resumed: 0,
            reseated: 0,
            beat: 500 * MS,
            lure: None,
            accepted: None,
            heard: Vec::new(),
            units_ended: 0,
            refused_writes: 0,
            heap: BinaryHeap::new(),
            what: BTreeMap::new(),
            n: 0,
            next_ip: 1,
        };
        // Clocks of one fleet may differ by a thousandth, ten times what quartz does.
        let fast = [0, 1_000, 500];
        for i in 0..cores + fronts {
            let addr = w.address();
            let off = w.rng.below(1_000 * SEC);
            let zone = format!("z{}", i % 3);
            w.slots.push(Machine {
                addr,
                hall: Machine::empty(&zone),
                ready: false,
                zone,
                core: i < cores,
                gone: false,
                node: None,
                disk: Disk::default(),
                disk_since: 0,
                life: 0,
                off,
                fast: fast[i % 3],
                frozen: 0,
                slow: None,
                pend: Vec::new(),
                shown: None,
            });
        }
        for i in 0..workers + APPS {
            let due = w.now + w.rng.below(500 * MS);
            let (id, pool) = if i < workers { (format!("w{i}"), "llm") } else { (format!("a{i}"), "app") };
            w.workers.push(Worker::new(id, pool, format!("z{}", i % 3), due));
        }
        for i in 0..w.slots.len() {
            w.start(i);
        }
        w
    }

    pub fn say(&mut self, s: String) {
        self.trace.push(format!("{:>10.3} {s}", self.now as f64 / 1e6));
    }

    pub(in crate::sim) fn push(&mut self, at: Micros, h: SimEvent) {
        self.n += 1;
        self.what.insert(self.n, h);
        self.heap.push(Reverse((at, self.n, 0)));
    }

    pub fn slot_of(&self, addr: &str) -> Option<usize> {
        self.slots.iter().position(|s| s.addr == addr)
    }

    pub fn alive(&self, i: usize) -> bool {
        self.slots[i].node.is_some() && self.slots[i].frozen <= self.now
    }
}
