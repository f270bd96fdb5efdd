//! Three cores and a node without a vote that are stepped directly, with a network and disks that can fail.

use super::nodes::{self, addr, core, founded};
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, LogEntry, Message, Voter,
};

/// How many cores there are.
pub const CORES: usize = 3;
/// The node without a vote, which forwards changes.
pub const FRONT: usize = 3;
/// How many nodes there are.
pub const ALL: usize = 4;

/// A write that waits for a stalled disk.
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
    /// The outcome that it brings, in a reply to a forwarded change.
    pub outcome: Option<ChangeOutcome>,
}

/// Nodes with a network latency of one millisecond.
pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub in_flight: BTreeMap<(Micros, u64), (usize, Frame)>,
    /// What each node has on its disk; the node without a vote has nothing.
    pub disks: Vec<DurableState>,
    /// Nodes that are partitioned from all others.
    pub partitioned: Vec<usize>,
    /// Nodes whose process is stopped.
    pub stopped: Vec<usize>,
    /// How many of a hundred frames are lost.
    pub loss_percent: u64,
    pub rng: Rng,
    /// The newest number of a frame or request.
    pub sequence: u64,
    /// The outcomes of changes and reads, by request.
    pub outcomes: BTreeMap<u64, ChangeOutcome>,
    /// The node identifier of each machine: one that lost its disk comes back with another.
    pub node_ids: Vec<NodeId>,
    /// Kinds of messages that are lost.
    pub dropped_kinds: Vec<&'static str>,
    /// Machines whose disk is stalled, and the writes that wait for it.
    pub stalled_disks: Vec<usize>,
    pub pending_writes: Vec<PendingWrite>,
    /// The bytes of entries in updates to subscribers, by sender and time.
    pub update_bytes: BTreeMap<(usize, Micros), usize>,
    /// Every message that was sent, except gossip.
    pub sent: Vec<SentMessage>,
    /// The bytes of entries and changes that were sent to other machines.
    pub entry_bytes: usize,
}

/// The bytes of entries and changes in a message.
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

/// Each machine is in a zone of its own.
pub fn me(i: usize, incarnation: Micros) -> NodeSettings {
    NodeSettings { zone: format!("z{i}"), ..nodes::me(i, CORES, incarnation) }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        let disk = founded(CORES, "{}".into(), 0);
        let disks: Vec<_> = (0..ALL).map(|i| if i < CORES { disk.clone() } else { DurableState::default() }).collect();
        let nodes =
            disks.iter().enumerate().map(|(i, disk)| Node::new(me(i, SEC), disk, seed * 10 + i as u64, SEC)).collect();
        let mut net = Net {
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
            node_ids: (0..ALL).map(|i| core(i).node_id).collect(),
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

    pub fn step(&mut self, i: usize, event: Event) {
        let now = self.now;
        if self.stopped.contains(&i) {
            return;
        }
        for effect in self.nodes[i].step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    if let Message::Dissemination(DisseminationMessage::Update { entry: Some(entry), .. }) =
                        &frame.message
                    {
                        *self.update_bytes.entry((i, now)).or_default() += entry.size();
                    }
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    if i != j {
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
                        self.sent.push(SentMessage { from: i, kind: name, outcome });
                        if is_dropped {
                            continue;
                        }
                    }
                    if i != j && (self.partitioned.contains(&i) || self.partitioned.contains(&j)) {
                        continue;
                    }
                    if self.loss_percent > 0 && self.rng.chance(self.loss_percent) {
                        continue;
                    }
                    self.sequence += 1;
                    self.in_flight.insert((now + MS, self.sequence), (j, *frame));
                }
                Effect::Write { token, writes } if self.stalled_disks.contains(&i) => {
                    self.pending_writes.push(PendingWrite { machine: i, token, writes });
                }
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[i].apply(write);
                    }
                    self.step(i, Event::Synced(token));
                }
                Effect::CompleteChange { request_id, outcome } => {
                    self.outcomes.insert(request_id, outcome);
                }
                _ => {}
            }
        }
    }

    /// Adds the revision and body of each version that any node or disk holds.
    pub fn collect_decided(&self, all: &mut BTreeMap<u64, (u64, String)>) {
        let on_disks = self.disks.iter().flat_map(|disk| disk.entries.values());
        for entry in self.nodes.iter().flat_map(|node| node.consensus.state.history.values()).chain(on_disks) {
            let known = all.entry(entry.version).or_insert_with(|| (entry.revision, entry.body.clone()));
            assert_eq!(known.1, entry.body, "version {} is one document", entry.version);
        }
    }

    /// Restarts the process of a machine, with its disk.
    pub fn restart(&mut self, i: usize) {
        let (now, seed) = (self.now, self.rng.next_u64());
        let me = NodeSettings { node_id: self.node_ids[i], ..me(i, now) };
        self.nodes[i] = Node::new(me, &self.disks[i], seed, now);
        self.stopped.retain(|stopped| *stopped != i);
    }

    /// Restarts a machine without its disk: it is a new node, which replaces the old one among the voters.
    pub fn lose_disk(&mut self, i: usize) {
        self.disks[i] = DurableState::default();
        self.node_ids[i] = NodeId(100 + self.now);
        self.restart(i);
        self.run(2 * SEC);
        let cores = (0..CORES).map(|j| Voter { node_id: self.node_ids[j], addr: addr(j) }).collect();
        let (by, base) = ((i + 1) % CORES, self.nodes[(i + 1) % CORES].version().expect("has a version"));
        let request_id = 500_000 + self.sequence;
        let change_id = ChangeId(request_id);
        self.step(
            by,
            Event::SubmitChange { request_id, change_id, is_first_send: true, base, change: Change::Voters(cores) },
        );
        assert_eq!(self.wait_for_outcome(request_id, 4 * SEC), "committed");
    }

    /// Runs until the outcome of this request is known, for this time at most.
    pub fn wait_for_outcome(&mut self, request_id: u64, timeout: Micros) -> String {
        let end = self.now + timeout;
        while !self.outcomes.contains_key(&request_id) && self.now < end {
            self.run(5 * MS);
        }
        self.outcome(request_id)
    }

    /// Submits a document and runs until its outcome is known.
    pub fn submit_and_wait(&mut self, i: usize, base: u64, body: &str) -> String {
        let request_id = 1_000 + self.sequence;
        self.sequence += 1;
        self.submit(i, request_id, base, body);
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

    /// Submits so many documents after the one with this revision, through the cores that run.
    pub fn submit_many(&mut self, from: u64, count: u64, body: impl Fn(u64) -> String) -> u64 {
        for revision in from + 1..=from + count {
            let up: Vec<_> = (0..CORES).filter(|i| !self.stopped.contains(i)).collect();
            let by = up[usize::try_from(revision).expect("small") % up.len()];
            assert_eq!(self.submit_and_wait(by, revision - 1, &body(revision)), "committed", "{revision}");
        }
        from + count
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (j, frame) = entry.remove();
                self.step(j, Event::Frame(Box::new(frame)));
            }
            if self.now.is_multiple_of(25 * MS) {
                for i in 0..ALL {
                    self.step(i, Event::Tick);
                }
            }
        }
    }

    pub fn submit(&mut self, i: usize, request_id: u64, base: u64, body: &str) {
        let change_id = ChangeId(hash64(body.as_bytes()).max(1));
        self.step(
            i,
            Event::SubmitChange {
                request_id,
                change_id,
                is_first_send: false,
                base,
                change: Change::Document(body.to_owned()),
            },
        );
    }

    /// Submits a document and runs for as long as a caller waits.
    pub fn submit_and_run(&mut self, i: usize, base: u64, body: &str) -> String {
        let request_id = 1_000 + self.sequence;
        self.sequence += 1;
        self.submit(i, request_id, base, body);
        self.run(4 * SEC);
        self.outcome(request_id)
    }

    pub fn submit_voters(&mut self, request_id: u64, base: u64, machines: &[usize]) {
        let voters = machines.iter().map(|i| core(*i)).collect();
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

    /// The version and body that all cores hold that are not partitioned.
    pub fn decided(&self) -> (u64, String) {
        let mut held: Vec<_> = (0..CORES)
            .filter(|i| !self.partitioned.contains(i))
            .map(|i| {
                self.nodes[i]
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
