//! Three cores and a node without a vote that the test steps directly, with a simulated network and disks that can
//! fail.

use super::nodes::{self, addr, core, founding_disk};
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, LogEntry, Message, Voter,
};

/// The number of cores.
pub const CORES: usize = 3;
/// The index of the node without a vote, which forwards changes.
pub const FRONT: usize = 3;
/// The number of nodes.
pub const ALL: usize = 4;

/// The writes of one sync that wait for a stalled disk.
pub struct PendingWrite {
    pub machine: usize,
    pub token: u64,
    pub writes: Vec<DurableWrite>,
}

/// A message that was sent.
pub struct SentMessage {
    pub from: usize,
    /// The kind of the message.
    pub kind: &'static str,
    /// The outcome in a reply to a forwarded change.
    pub outcome: Option<ChangeOutcome>,
}

/// A simulated network of nodes with a latency of one millisecond.
pub struct SimulatedNetwork {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub in_flight: BTreeMap<(Micros, u64), (usize, Frame)>,
    /// The contents of each node's disk; the disk of the node without a vote is empty.
    pub disks: Vec<DurableState>,
    /// Nodes that are partitioned from all others.
    pub partitioned: Vec<usize>,
    /// Nodes whose process is stopped.
    pub stopped: Vec<usize>,
    /// The percentage of frames that are lost.
    pub loss_percent: u64,
    pub rng: Rng,
    /// The number of the newest frame or request.
    pub sequence: u64,
    /// The outcomes of changes and reads, by request.
    pub outcomes: BTreeMap<u64, ChangeOutcome>,
    /// The node ID of each machine. A machine that lost its disk restarts with a new ID.
    pub node_ids: Vec<NodeId>,
    /// The kinds of messages that are dropped.
    pub dropped_kinds: Vec<&'static str>,
    /// The machines whose disks are stalled.
    pub stalled_disks: Vec<usize>,
    /// The writes that wait for stalled disks.
    pub pending_writes: Vec<PendingWrite>,
    /// The number of bytes of entries in updates to subscribers, by sender and time.
    pub update_bytes: BTreeMap<(usize, Micros), usize>,
    /// Every message that was sent, except gossip.
    pub sent: Vec<SentMessage>,
    /// The number of bytes of entries and changes that were sent to other machines.
    pub entry_bytes: usize,
}

/// Returns the number of bytes of entries and changes in a message.
fn entry_bytes(message: &Message) -> usize {
    match message {
        Message::Consensus(
            ConsensusMessage::Promise { accepted: Some((_, entry)), .. } | ConsensusMessage::Accept { entry, .. },
        ) => entry.size(),
        Message::Consensus(ConsensusMessage::Replicate { entries }) => entries.iter().map(LogEntry::size).sum(),
        Message::Dissemination(DisseminationMessage::Update { preceding, entry, .. }) => {
            preceding.iter().chain(entry).map(LogEntry::size).sum()
        }
        Message::Consensus(ConsensusMessage::Forward { change, .. }) => change.size(),
        _ => 0,
    }
}

/// Returns the settings of a node. Each machine is in a zone of its own.
pub fn machine_settings(machine: usize, incarnation: Micros) -> NodeSettings {
    NodeSettings { zone: format!("z{machine}"), ..nodes::node_settings(machine, CORES, incarnation) }
}

impl SimulatedNetwork {
    pub fn new(seed: u64) -> Self {
        let disk = founding_disk(CORES, "{}".into(), 0);
        let disks: Vec<_> =
            (0..ALL).map(|machine| if machine < CORES { disk.clone() } else { DurableState::default() }).collect();
        let nodes = disks
            .iter()
            .enumerate()
            .map(|(machine, disk)| Node::new(machine_settings(machine, SEC), disk, seed * 10 + machine as u64, SEC))
            .collect();
        let mut net = SimulatedNetwork {
            now: SEC,
            nodes,
            disks,
            in_flight: BTreeMap::new(),
            partitioned: Vec::new(),
            stopped: Vec::new(),
            loss_percent: 0,
            rng: Rng::new(seed),
            sequence: 0,
            outcomes: BTreeMap::new(),
            node_ids: (0..ALL).map(|machine| core(machine).node_id).collect(),
            dropped_kinds: Vec::new(),
            stalled_disks: Vec::new(),
            update_bytes: BTreeMap::new(),
            pending_writes: Vec::new(),
            sent: Vec::new(),
            entry_bytes: 0,
        };
        net.run(4 * SEC);
        net
    }

    pub fn step(&mut self, machine: usize, event: Event) {
        let now = self.now;
        if self.stopped.contains(&machine) {
            return;
        }
        for effect in self.nodes[machine].step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    if let Message::Dissemination(DisseminationMessage::Update { entry: Some(entry), .. }) =
                        &frame.message
                    {
                        *self.update_bytes.entry((machine, now)).or_default() += entry.size();
                    }
                    let Some(receiver) = (0..ALL).find(|receiver| addr(*receiver) == to) else { continue };
                    if machine != receiver {
                        self.entry_bytes += entry_bytes(&frame.message);
                    }
                    let outcome =
                        if let Message::Consensus(ConsensusMessage::ForwardReply { outcome, .. }) = &frame.message {
                            Some(outcome.clone())
                        } else {
                            None
                        };
                    if !matches!(frame.message, Message::Dissemination(DisseminationMessage::Gossip { .. })) {
                        let name = frame.message.name();
                        let is_dropped = self.dropped_kinds.contains(&name);
                        self.sent.push(SentMessage { from: machine, kind: name, outcome });
                        if is_dropped {
                            continue;
                        }
                    }
                    if machine != receiver
                        && (self.partitioned.contains(&machine) || self.partitioned.contains(&receiver))
                    {
                        continue;
                    }
                    if self.loss_percent > 0 && self.rng.chance_percent(self.loss_percent) {
                        continue;
                    }
                    self.sequence += 1;
                    self.in_flight.insert((now + MS, self.sequence), (receiver, *frame));
                }
                Effect::Write { token, writes } if self.stalled_disks.contains(&machine) => {
                    self.pending_writes.push(PendingWrite { machine, token, writes });
                }
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[machine].apply(write);
                    }
                    self.step(machine, Event::Synced(token));
                }
                Effect::CompleteChange { request_id, outcome } => {
                    self.outcomes.insert(request_id, outcome);
                }
                _ => {}
            }
        }
    }

    /// Adds the revision and body of each version that any node or disk holds. Checks that no version has two bodies.
    pub fn collect_decided(&self, decided: &mut BTreeMap<u64, (u64, String)>) {
        let on_disks = self.disks.iter().flat_map(|disk| disk.entries.values());
        for entry in self.nodes.iter().flat_map(|node| node.consensus.state.history.values()).chain(on_disks) {
            let known = decided.entry(entry.version).or_insert_with(|| (entry.revision, entry.body.clone()));
            assert_eq!(known.1, entry.body, "version {} is one document", entry.version);
        }
    }

    /// Restarts the process of a machine from its disk.
    pub fn restart(&mut self, machine: usize) {
        let (now, seed) = (self.now, self.rng.next_u64());
        let settings = NodeSettings { node_id: self.node_ids[machine], ..machine_settings(machine, now) };
        self.nodes[machine] = Node::new(settings, &self.disks[machine], seed, now);
        self.stopped.retain(|stopped| *stopped != machine);
    }

    /// Restarts a machine without its disk as a new node, which replaces the old node among the voters.
    pub fn lose_disk(&mut self, machine: usize) {
        self.disks[machine] = DurableState::default();
        self.node_ids[machine] = NodeId(100 + self.now);
        self.restart(machine);
        self.run(2 * SEC);
        let cores = (0..CORES).map(|voter| Voter { node_id: self.node_ids[voter], addr: addr(voter) }).collect();
        let (submitter, base) =
            ((machine + 1) % CORES, self.nodes[(machine + 1) % CORES].version().expect("has a version"));
        let request_id = 500_000 + self.sequence;
        let change_id = ChangeId(request_id);
        self.step(
            submitter,
            Event::SubmitChange { request_id, change_id, is_first_send: true, base, change: Change::Voters(cores) },
        );
        assert_eq!(self.wait_for_outcome(request_id, 4 * SEC), "committed");
    }

    /// Runs until the outcome of a request is known, at most for `timeout`.
    pub fn wait_for_outcome(&mut self, request_id: u64, timeout: Micros) -> String {
        let end = self.now + timeout;
        while !self.outcomes.contains_key(&request_id) && self.now < end {
            self.run(5 * MS);
        }
        self.outcome(request_id)
    }

    /// Submits a document and runs until its outcome is known.
    pub fn submit_and_wait(&mut self, machine: usize, base: u64, body: &str) -> String {
        let request_id = 1_000 + self.sequence;
        self.sequence += 1;
        self.submit(machine, request_id, base, body);
        self.wait_for_outcome(request_id, 5 * SEC)
    }

    /// Ends the stalls of all disks.
    pub fn resume_disks(&mut self) {
        self.stalled_disks.clear();
        for PendingWrite { machine, token, writes } in std::mem::take(&mut self.pending_writes) {
            for write in &writes {
                self.disks[machine].apply(write);
            }
            self.step(machine, Event::Synced(token));
        }
    }

    /// Submits `count` documents after revision `from` to the running cores in turn, and returns the last revision.
    pub fn submit_many(&mut self, from: u64, count: u64, body: impl Fn(u64) -> String) -> u64 {
        for revision in from + 1..=from + count {
            let running: Vec<_> = (0..CORES).filter(|machine| !self.stopped.contains(machine)).collect();
            let submitter = running[usize::try_from(revision).expect("small") % running.len()];
            assert_eq!(self.submit_and_wait(submitter, revision - 1, &body(revision)), "committed", "{revision}");
        }
        from + count
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (receiver, frame) = entry.remove();
                self.step(receiver, Event::Frame(Box::new(frame)));
            }
            if self.now.is_multiple_of(25 * MS) {
                for machine in 0..ALL {
                    self.step(machine, Event::Tick);
                }
            }
        }
    }

    pub fn submit(&mut self, machine: usize, request_id: u64, base: u64, body: &str) {
        let change_id = ChangeId(hash64(body.as_bytes()).max(1));
        self.step(
            machine,
            Event::SubmitChange {
                request_id,
                change_id,
                is_first_send: false,
                base,
                change: Change::Document(body.to_owned()),
            },
        );
    }

    /// Submits a document and runs for four seconds, the time that a caller waits.
    pub fn submit_and_run(&mut self, machine: usize, base: u64, body: &str) -> String {
        let request_id = 1_000 + self.sequence;
        self.sequence += 1;
        self.submit(machine, request_id, base, body);
        self.run(4 * SEC);
        self.outcome(request_id)
    }

    pub fn submit_voters(&mut self, request_id: u64, base: u64, machines: &[usize]) {
        let voters = machines.iter().map(|machine| core(*machine)).collect();
        self.step(
            0,
            Event::SubmitChange {
                request_id,
                change_id: ChangeId(77),
                is_first_send: true,
                base,
                change: Change::Voters(voters),
            },
        );
    }

    pub fn outcome(&self, request_id: u64) -> String {
        match self.outcomes.get(&request_id) {
            None => "pending".into(),
            Some(ChangeOutcome::Committed { .. }) => "committed".into(),
            Some(ChangeOutcome::Stale { .. }) => "stale".into(),
            Some(ChangeOutcome::Invalid { .. }) => "invalid".into(),
            Some(other) => format!("{other:?}"),
        }
    }

    /// Returns the newest version and its body, which must be the same on all cores that are not partitioned.
    pub fn decided(&self) -> (u64, String) {
        let mut held: Vec<_> = (0..CORES)
            .filter(|machine| !self.partitioned.contains(machine))
            .map(|machine| {
                self.nodes[machine]
                    .consensus
                    .state
                    .newest()
                    .map_or((0, String::new()), |entry| (entry.version, entry.body.clone()))
            })
            .collect();
        held.dedup();
        assert_eq!(held.len(), 1, "{held:?}");
        held.remove(0)
    }
}
