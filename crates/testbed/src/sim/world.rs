//! The state of a simulated world and its queue of scheduled events.

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

/// Machines, workers, the network between them, and the events that are scheduled, all drawn from one seed.
pub struct World {
    /// True time in microseconds; each machine has its own clock.
    pub now: Micros,
    /// The source of all random draws; their order decides the run.
    pub rng: Rng,
    /// Cores first, then fronts, then machines that joined later.
    pub machines: Vec<Machine>,
    /// Workers of the model first, then those of the application service.
    pub workers: Vec<Worker>,
    /// The checks that go on during the run.
    pub safety: SafetyChecker,
    /// Outcomes of configuration changes by request id, until somebody reads them.
    pub change_outcomes: Vec<(u64, ChangeOutcome)>,
    /// Links (from, to) on which frames are lost, and until when.
    pub blocked_links: BTreeMap<(usize, usize), Micros>,
    /// Links (from, to) on which frames are held, and until when.
    pub stalled_links: BTreeMap<(usize, usize), Micros>,
    /// How often the sender of a blocked link tries to connect, where it knows that the link is down: its frames
    /// wait for the connection. Frames of a blocked link without an entry are lost.
    pub reconnect_intervals: BTreeMap<(usize, usize), Micros>,
    /// The open connections between machines.
    pub connections: Connections,
    /// So many of a hundred frames are lost, and until when.
    pub loss: (u64, Micros),
    /// Until when many frames come late and overtake one another.
    pub reordering_until: Micros,
    /// Machines whose frames, sent and received, are held, and until when.
    pub frames_held_until: BTreeMap<usize, Micros>,
    /// How many frames were sent.
    pub frames: u64,
    /// How many bytes of frames were sent.
    pub bytes: u64,
    /// Frames and bytes between zones by the kind of message.
    pub cross_zone_traffic: BTreeMap<&'static str, (u64, u64)>,
    /// What was done to the fleet, a line each, with the time in seconds.
    pub trace: Vec<String>,
    /// What workers ran, in the order of the starts.
    pub executions: Vec<ExecutionRecord>,
    /// What clients saw, in the order of the ends.
    pub call_outcomes: Vec<CallOutcome>,
    /// How many calls began, and so the number of the last one.
    pub calls_started: u64,
    /// How many tenants there are beside the one whose key comes and goes.
    pub tenants: u64,
    /// How many more routes every eighth configuration has.
    pub extra_routes: u64,
    /// Whether quotas are rates with a burst instead of windows.
    pub quotas_are_rates: bool,
    /// Cumulated shares, in percent, of lookups, bookings, drafts, chats and summaries.
    pub call_mix: [u64; 5],
    /// How many times its usual traffic one tenant has, and until when.
    pub crowd: (u64, Micros),
    /// Until when all calls share one prompt prefix.
    pub shared_prefix_until: Micros,
    /// How many cores may be lost at once where cores manage the voters themselves; 0 where operators do.
    pub tolerated_losses: u32,
    /// Machines that will be removed for good soon.
    pub leaving_machines: BTreeSet<usize>,
    /// Whether a node that starts may found a fleet.
    pub may_bootstrap: bool,
    /// Each freeze of a machine: the machine, from when and until when.
    pub freezes: Vec<(usize, Micros, Micros)>,
    /// First attempts and retries of processes that ended.
    pub tries: (u64, u64),
    /// Streams that processes which ended had resumed at another worker.
    pub streams_resumed: u64,
    /// Slots that processes which ended had reassigned.
    pub slots_reassigned: u64,
    /// How often nodes are configured to expect workers' reports; over half a second each report goes to one core only.
    pub report_interval: Micros,
    /// A machine that a third of the workers report to first, and until when.
    pub preferred_report_target: Option<(usize, Micros)>,
    /// The front that forwarded a response head last, and when.
    pub last_accepted_call: Option<(usize, Micros)>,
    /// Acknowledgements of workers' reports by request id, until somebody reads them.
    pub report_acknowledgements: Vec<(u64, bool)>,
    /// Quota units that expired unused in processes that ended.
    pub quota_units_expired: u64,
    /// How many writes full disks rejected.
    pub rejected_writes: u64,
    /// Times and numbers of the scheduled events: the earliest first, then the lowest number.
    pub(in crate::sim) event_queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    /// The scheduled events by number; one that is removed here is skipped in the queue.
    pub(in crate::sim) pending_events: BTreeMap<u64, SimEvent>,
    /// The number of the event that was scheduled last.
    pub(in crate::sim) last_event_number: u64,
    /// From which the next machine's address is made.
    pub(in crate::sim) next_ip: u32,
}

/// The usual mix of calls: see [`World::call_mix`].
pub const MIX: [u64; 5] = [30, 40, 58, 91, 100];
/// How often nodes tick, in microseconds.
pub const TICK: Micros = 25 * MS;
/// How many workers serve the application service beside those of the model.
pub const APPS: usize = 3;

impl World {
    /// A fleet of these sizes over three zones, all machines started, at one second of true time.
    pub fn new(seed: u64, cores: usize, fronts: usize, workers: usize) -> Self {
        let mut w = World {
            now: SEC,
            rng: Rng::new(seed),
            machines: Vec::new(),
            workers: Vec::new(),
            safety: SafetyChecker::default(),
            change_outcomes: Vec::new(),
            blocked_links: BTreeMap::new(),
            stalled_links: BTreeMap::new(),
            reconnect_intervals: BTreeMap::new(),
            connections: Connections::default(),
            loss: (0, 0),
            reordering_until: 0,
            frames_held_until: BTreeMap::new(),
            frames: 0,
            bytes: 0,
            cross_zone_traffic: BTreeMap::new(),
            trace: Vec::new(),
            executions: Vec::new(),
            call_outcomes: Vec::new(),
            calls_started: 0,
            tenants: TENANTS,
            extra_routes: 0,
            quotas_are_rates: false,
            call_mix: MIX,
            crowd: (1, 0),
            shared_prefix_until: 0,
            tolerated_losses: 0,
            leaving_machines: BTreeSet::new(),
            may_bootstrap: true,
            freezes: Vec::new(),
            tries: (0, 0),
            streams_resumed: 0,
            slots_reassigned: 0,
            report_interval: 500 * MS,
            preferred_report_target: None,
            last_accepted_call: None,
            report_acknowledgements: Vec::new(),
            quota_units_expired: 0,
            rejected_writes: 0,
            event_queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            last_event_number: 0,
            next_ip: 1,
        };
        // Clocks of one fleet may differ by a thousandth, ten times what quartz does.
        let fast = [0, 1_000, 500];
        for i in 0..cores + fronts {
            let addr = w.address();
            let off = w.rng.below(1_000 * SEC);
            let zone = format!("z{}", i % 3);
            w.machines.push(Machine {
                addr,
                calls: Machine::empty_registry(&zone),
                is_ready: false,
                zone,
                is_core: i < cores,
                is_removed: false,
                node: None,
                disk: Disk::default(),
                disk_since: 0,
                incarnation: 0,
                clock_offset: off,
                clock_drift_ppm: fast[i % 3],
                frozen_until: 0,
                slow_mode: None,
                deferred_events: Vec::new(),
                last_version: None,
            });
        }
        for i in 0..workers + APPS {
            let due = w.now + w.rng.below(500 * MS);
            let (id, pool) = if i < workers { (format!("w{i}"), "llm") } else { (format!("a{i}"), "app") };
            w.workers.push(Worker::new(id, pool, format!("z{}", i % 3), due));
        }
        for i in 0..w.machines.len() {
            w.start(i);
        }
        w
    }

    /// Adds a line to the trace.
    pub fn log(&mut self, s: String) {
        self.trace.push(format!("{:>10.3} {s}", self.now as f64 / 1e6));
    }

    /// Schedules an event; events of one moment come in the order in which they were scheduled.
    pub(in crate::sim) fn schedule(&mut self, at: Micros, h: SimEvent) {
        self.last_event_number += 1;
        self.pending_events.insert(self.last_event_number, h);
        self.event_queue.push(Reverse((at, self.last_event_number, 0)));
    }

    /// The machine with this address.
    pub fn machine_at(&self, addr: &str) -> Option<usize> {
        self.machines.iter().position(|s| s.addr == addr)
    }

    /// Whether the process of a machine runs and isn't frozen.
    pub fn is_running(&self, i: usize) -> bool {
        self.machines[i].node.is_some() && self.machines[i].frozen_until <= self.now
    }
}
