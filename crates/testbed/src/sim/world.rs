//! The state of a simulated world and its queue of scheduled events.

use crate::retry_allowance::RetryRecord;
use crate::sim::calls::outcome::CallOutcome;
use crate::sim::checks::safety::SafetyChecker;
use crate::sim::event::SimEvent;
use crate::sim::machines::disk::Disk;
use crate::sim::machines::slot::Machine;
use crate::sim::network::connections::Connections;
use crate::sim::operators::documents::TENANT_COUNT;
use crate::sim::workers::worker::{ExecutionRecord, Worker};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::protocol::ChangeOutcome;

/// A simulated fleet: machines, workers, the network between them and the scheduled events, all drawn from one seed.
pub struct World {
    /// True time in microseconds; each machine has its own clock.
    pub now: Micros,
    /// The source of all random draws; their order decides the run.
    pub rng: Rng,
    /// Cores first, then fronts, then machines that joined later.
    pub machines: Vec<Machine>,
    /// Workers of the model first, then those of the application service.
    pub workers: Vec<Worker>,
    /// The safety checks that run with the simulation.
    pub safety: SafetyChecker,
    /// Outcomes of configuration changes by request id, until the operators read them.
    pub change_outcomes: Vec<(u64, ChangeOutcome)>,
    /// Links (from, to) on which frames are lost, and until when.
    pub blocked_links: BTreeMap<(usize, usize), Micros>,
    /// Links (from, to) on which frames are held, and until when.
    pub stalled_links: BTreeMap<(usize, usize), Micros>,
    /// The reconnect intervals of blocked links whose sender knows that the link is down: its frames wait for the
    /// connection. Frames on a blocked link without an entry are lost.
    pub reconnect_intervals: BTreeMap<(usize, usize), Micros>,
    /// The open connections between machines.
    pub connections: Connections,
    /// The percentage of frames that are lost, and until when.
    pub frame_loss: (u64, Micros),
    /// Until when many frames are delayed and reordered.
    pub reordering_until: Micros,
    /// Machines whose frames, sent and received, are held, and until when.
    pub frames_held_until: BTreeMap<usize, Micros>,
    /// The number of frames sent.
    pub frames: u64,
    /// The number of bytes in these frames.
    pub bytes: u64,
    /// The numbers of frames and bytes between zones by the kind of message.
    pub cross_zone_traffic: BTreeMap<&'static str, (u64, u64)>,
    /// The trace of the run: a line for each fault or recovery, with the time in seconds.
    pub trace: Vec<String>,
    /// The calls that workers executed, in the order of their starts.
    pub executions: Vec<ExecutionRecord>,
    /// The outcomes that clients observed, in the order of their ends.
    pub call_outcomes: Vec<CallOutcome>,
    /// The number of calls started, which is also the number of the last one.
    pub calls_started: u64,
    /// The number of tenants, without the one whose key is added and withdrawn.
    pub tenants: u64,
    /// The number of extra routes in every eighth configuration.
    pub extra_routes: u64,
    /// Whether quotas are rates with a burst rather than windows.
    pub quotas_are_rates: bool,
    /// Cumulative shares, in percent, of lookups, bookings, drafts, chats and summaries.
    pub call_mix: [u64; 5],
    /// The factor by which one tenant exceeds its usual traffic, and until when.
    pub tenant_burst: (u64, Micros),
    /// Until when all calls share one prompt prefix.
    pub shared_prefix_until: Micros,
    /// The number of cores that may be lost at once where cores manage the voters themselves; 0 where operators do.
    pub tolerated_losses: u32,
    /// Machines that will be removed for good soon.
    pub leaving_machines: BTreeSet<usize>,
    /// Whether a node that starts may bootstrap a fleet.
    pub may_bootstrap: bool,
    /// All freezes: the machine, the start and the end.
    pub freezes: Vec<(usize, Micros, Micros)>,
    /// The numbers of first attempts and of retries, in processes that ended.
    pub attempts: (u64, u64),
    /// The requests of clients and the arrivals at workers, by pool.
    pub retry_record: RetryRecord,
    /// The number of streams resumed at another worker, in processes that ended.
    pub streams_resumed: u64,
    /// The number of slots reassigned, in processes that ended.
    pub slots_reassigned: u64,
    /// The interval at which nodes expect workers' reports, in microseconds; above half a second each report goes to
    /// one core only.
    pub report_interval: Micros,
    /// A machine that a third of the workers report to first, and until when.
    pub preferred_report_target: Option<(usize, Micros)>,
    /// The front that forwarded a response head last, and when.
    pub last_accepted_call: Option<(usize, Micros)>,
    /// Acknowledgements of workers' reports by request id, until their sender reads them.
    pub report_acknowledgements: Vec<(u64, bool)>,
    /// The number of quota units that expired unused, in processes that ended.
    pub quota_units_expired: u64,
    /// The number of writes that full disks rejected.
    pub rejected_writes: u64,
    /// Times and numbers of the scheduled events: the earliest first, then the lowest number.
    pub(in crate::sim) event_queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    /// The scheduled events by number; one that is removed here is skipped in the queue.
    pub(in crate::sim) pending_events: BTreeMap<u64, SimEvent>,
    /// The number of the event that was scheduled last.
    pub(in crate::sim) last_event_number: u64,
    /// The counter from which the address of the next machine is made.
    pub(in crate::sim) next_ip: u32,
}

/// The usual call mix; see [`World::call_mix`].
pub const USUAL_CALL_MIX: [u64; 5] = [30, 40, 58, 91, 100];
/// The interval at which nodes tick, in microseconds.
pub const TICK_INTERVAL: Micros = 25 * MS;
/// The number of workers that serve the application service, beside those of the model.
pub const APP_WORKERS: usize = 3;

impl World {
    /// Returns a fleet of these sizes over three zones, with all machines started, at one second of true time.
    pub fn new(seed: u64, cores: usize, fronts: usize, workers: usize) -> Self {
        let mut world = World {
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
            frame_loss: (0, 0),
            reordering_until: 0,
            frames_held_until: BTreeMap::new(),
            frames: 0,
            bytes: 0,
            cross_zone_traffic: BTreeMap::new(),
            trace: Vec::new(),
            executions: Vec::new(),
            call_outcomes: Vec::new(),
            calls_started: 0,
            tenants: TENANT_COUNT,
            extra_routes: 0,
            quotas_are_rates: false,
            call_mix: USUAL_CALL_MIX,
            tenant_burst: (1, 0),
            shared_prefix_until: 0,
            tolerated_losses: 0,
            leaving_machines: BTreeSet::new(),
            may_bootstrap: true,
            freezes: Vec::new(),
            attempts: (0, 0),
            retry_record: RetryRecord::default(),
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
        // The clock drifts of a fleet may differ by 1000 ppm, ten times the drift of quartz.
        let drifts_ppm = [0, 1_000, 500];
        for i in 0..cores + fronts {
            let addr = world.address();
            let clock_offset = world.rng.next_below(1_000 * SEC);
            let zone = format!("z{}", i % 3);
            world.machines.push(Machine {
                addr,
                calls: Machine::empty_registry(&zone),
                is_ready: false,
                zone,
                is_core: i < cores,
                is_removed: false,
                node: None,
                disk: Disk::default(),
                disk_installed_at: 0,
                incarnation: 0,
                clock_offset,
                clock_drift_ppm: drifts_ppm[i % 3],
                frozen_until: 0,
                slow_mode: None,
                deferred_events: Vec::new(),
                last_version: None,
            });
        }
        for i in 0..workers + APP_WORKERS {
            let due = world.now + world.rng.next_below(500 * MS);
            let (id, pool) = if i < workers { (format!("w{i}"), "llm") } else { (format!("a{i}"), "app") };
            world.workers.push(Worker::new(id, pool, format!("z{}", i % 3), due));
        }
        for i in 0..world.machines.len() {
            world.start(i);
        }
        world
    }

    /// Adds a line to the trace.
    pub fn log(&mut self, text: String) {
        self.trace.push(format!("{:>10.3} {text}", self.now as f64 / 1e6));
    }

    /// Schedules an event; events of one moment are handled in the order in which they were scheduled.
    pub(in crate::sim) fn schedule(&mut self, due: Micros, event: SimEvent) {
        self.last_event_number += 1;
        self.pending_events.insert(self.last_event_number, event);
        self.event_queue.push(Reverse((due, self.last_event_number, 0)));
    }

    /// Returns the index of the machine with this address.
    pub fn machine_at(&self, addr: &str) -> Option<usize> {
        self.machines.iter().position(|machine| machine.addr == addr)
    }

    /// Returns true while the process of a machine runs and isn't frozen.
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].node.is_some() && self.machines[machine].frozen_until <= self.now
    }
}
