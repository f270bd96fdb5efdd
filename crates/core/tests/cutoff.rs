//! The replies of a core that is partitioned from its majority to each kind of call, and their delay.

mod nodes;

use nodes::{addr, founding_disk, node_settings, pool_document};
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, Rng, SEC, hash64};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node};
use sumacvale_core::protocol::{Change, ChangeOutcome, ConsensusMessage, Frame, Message, WorkerReport};

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    /// The call is done.
    Success,
    /// 5xx: the outcome is unknown.
    Unknown,
    /// The call is rejected for good.
    Rejected(String),
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Change,
    Read,
    Report,
    NewWorker,
    Drain,
    Removal,
}

const CALL_KINDS: [CallKind; 6] =
    [CallKind::Change, CallKind::Read, CallKind::Report, CallKind::NewWorker, CallKind::Drain, CallKind::Removal];

/// The frames of a partitioned machine that are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Partition {
    /// Frames from the machine and to it.
    Both,
    /// Frames to the machine.
    Inbound,
    /// Frames from the machine.
    Outbound,
}

const PARTITIONS: [Partition; 3] = [Partition::Both, Partition::Inbound, Partition::Outbound];

/// A network of nodes with a latency of one millisecond. Cores come first, then nodes without a vote.
struct Net {
    now: Micros,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    pending_syncs: BTreeMap<(Micros, u64), (usize, u64)>,
    disks: Vec<DurableState>,
    /// Links on which frames are lost, from the first to the second node.
    blocked_links: Vec<(usize, usize)>,
    /// Nodes whose process is paused.
    paused: Vec<usize>,
    /// The duration of a sync to disk, in microseconds.
    sync_delay: Micros,
    /// The share of lost frames, in percent.
    loss_percent: u64,
    /// The maximum random delay of a frame, in microseconds.
    max_delay: Micros,
    rng: Rng,
    /// The newest number of an effect or call.
    sequence: u64,
    replies: BTreeMap<u64, (Reply, Micros)>,
    contents: BTreeMap<u64, String>,
    /// The outcomes of changes and reads.
    outcomes: BTreeMap<u64, ChangeOutcome>,
}

fn report(worker: &str, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: worker.into(),
        incarnation: 1,
        seq,
        addr: format!("10.0.0.1:{}", 80 + hash64(worker.as_bytes()) % 1_000),
        pool: "p".into(),
        zone: "z0".into(),
        slots: 4,
        ..WorkerReport::default()
    }
}

impl Net {
    fn new(seed: u64, cores: usize, fronts: usize) -> Self {
        let disk = founding_disk(cores, pool_document(1, "p"), 1);
        let disks: Vec<_> =
            (0..cores + fronts).map(|node| if node < cores { disk.clone() } else { DurableState::default() }).collect();
        let settings_of = |node: usize| node_settings(node, cores, SEC);
        let nodes = disks
            .iter()
            .enumerate()
            .map(|(node, disk)| Node::new(settings_of(node), disk, seed * 10 + node as u64, SEC))
            .collect();
        let mut net = Net {
            now: SEC,
            nodes,
            in_flight: BTreeMap::new(),
            pending_syncs: BTreeMap::new(),
            disks,
            blocked_links: Vec::new(),
            paused: Vec::new(),
            sync_delay: 0,
            loss_percent: 0,
            max_delay: 0,
            rng: Rng::new(seed),
            sequence: 0,
            replies: BTreeMap::new(),
            contents: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        };
        net.run(4 * SEC);
        net
    }

    fn step(&mut self, node: usize, event: Event) {
        let now = self.now;
        for effect in self.nodes[node].step(event, now) {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        self.sequence += 1;
        match effect {
            Effect::Send { to, frame } => {
                let Some(peer) = (0..self.nodes.len()).find(|peer| addr(*peer) == to) else { return };
                if self.loss_percent > 0 && self.rng.chance_percent(self.loss_percent) {
                    return;
                }
                let delay = if self.max_delay > 0 { self.rng.next_below(self.max_delay) } else { 0 };
                self.in_flight.insert((self.now + MS + delay, self.sequence), (node, peer, *frame));
            }
            Effect::Write { token, writes } => {
                for write in &writes {
                    self.disks[node].apply(write);
                }
                self.pending_syncs.insert((self.now + self.sync_delay, self.sequence), (node, token));
            }
            Effect::CompleteChange { request_id, outcome } => {
                self.outcomes.insert(request_id, outcome.clone());
                let reply = match &outcome {
                    ChangeOutcome::Committed { .. } | ChangeOutcome::Content { .. } => Reply::Success,
                    ChangeOutcome::NoQuorum | ChangeOutcome::Unknown => Reply::Unknown,
                    other => Reply::Rejected(format!("{other:?}")),
                };
                if let ChangeOutcome::Content { text } = outcome {
                    self.contents.insert(request_id, text);
                }
                self.replies.insert(request_id, (reply, self.now));
            }
            Effect::AcknowledgeReport { request_id, is_accepted } => {
                self.replies.insert(request_id, (if is_accepted { Reply::Success } else { Reply::Unknown }, self.now));
            }
            _ => {}
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.pending_syncs.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (node, token) = entry.remove();
                self.step(node, Event::Synced(token));
            }
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let ((due, sequence), (node, peer, frame)) = entry.remove_entry();
                if self.blocked_links.contains(&(node, peer)) {
                    continue;
                }
                if self.paused.contains(&peer) {
                    self.in_flight.insert((due.max(self.now) + MS, sequence), (node, peer, frame));
                    continue;
                }
                self.step(peer, Event::Frame(Box::new(frame)));
            }
            if self.now.is_multiple_of(25 * MS) {
                for node in 0..self.nodes.len() {
                    if !self.paused.contains(&node) {
                        self.step(node, Event::Tick);
                    }
                }
            }
        }
    }

    /// Partitions these nodes from all others.
    fn partition(&mut self, partitioned: &[usize], partition: Partition) {
        let all = self.nodes.len();
        for node in partitioned {
            for peer in (0..all).filter(|peer| !partitioned.contains(peer)) {
                if partition != Partition::Outbound {
                    self.blocked_links.push((peer, *node));
                }
                if partition != Partition::Inbound {
                    self.blocked_links.push((*node, peer));
                }
            }
        }
    }

    /// Sends a call to a node; returns the identifier of the request.
    fn send_call(&mut self, node: usize, kind: CallKind) -> u64 {
        self.sequence += 1;
        let request_id = 1_000_000 + self.sequence;
        match kind {
            CallKind::Change => {
                let base = self.newest_revision();
                self.submit_document(node, request_id, base, &pool_document(base + 1, &format!("o{request_id}")));
            }
            CallKind::Read => {
                let change = Change::ReadNewest;
                self.step(
                    node,
                    Event::SubmitChange { request_id, change_id: ChangeId(0), is_first_send: false, base: 0, change },
                );
            }
            CallKind::Report => self.step(node, Event::ReportWithAck { request_id, report: report("old", request_id) }),
            CallKind::NewWorker => {
                self.step(node, Event::ReportWithAck { request_id, report: report(&format!("w{request_id}"), 1) });
            }
            CallKind::Drain => self.step(
                node,
                Event::ReportWithAck {
                    request_id,
                    report: WorkerReport { draining: true, ..report("drains", request_id) },
                },
            ),
            CallKind::Removal => {
                self.step(node, Event::ReportWithAck { request_id, report: WorkerReport::removal("leaves", 1) });
            }
        }
        request_id
    }

    /// The newest revision that any node holds.
    fn newest_revision(&self) -> u64 {
        self.nodes.iter().map(|node| node.consensus.state.newest().map_or(0, |entry| entry.revision)).max().unwrap_or(0)
    }

    fn submit_document(&mut self, node: usize, request_id: u64, base: u64, body: &str) {
        let change_id = ChangeId(hash64(body.as_bytes()).max(1));
        self.step(
            node,
            Event::SubmitChange {
                request_id,
                change_id,
                is_first_send: false,
                base,
                change: Change::Document(body.to_owned()),
            },
        );
    }

    /// Waits for the reply to a call. Returns the reply and its delay.
    fn wait_for_reply(&mut self, request_id: u64) -> (Reply, Micros) {
        let at = self.now;
        while !self.replies.contains_key(&request_id) && self.now < at + 6 * SEC {
            self.run(MS);
        }
        let (reply, replied_at) =
            self.replies.get(&request_id).cloned().unwrap_or((Reply::Rejected("never".into()), self.now));
        (reply, replied_at.saturating_sub(at))
    }

    fn call(&mut self, node: usize, kind: CallKind) -> (Reply, Micros) {
        let request_id = self.send_call(node, kind);
        self.wait_for_reply(request_id)
    }

    /// Registers workers, so that their later reports are not of new workers.
    fn register_workers(&mut self) {
        for (index, worker) in ["old", "drains", "leaves"].iter().enumerate() {
            self.step(index, Event::ReportWithAck { request_id: index as u64, report: report(worker, 1) });
        }
        self.run(200 * MS);
    }
}

/// The times after the start of the partition at which calls are sent.
const PARTITION_AGES: [Micros; 7] = [0, 100 * MS, 300 * MS, 700 * MS, 1_300 * MS, 4_000 * MS, 20_000 * MS];
/// The maximum delay of a reply: with both transits well within the time-out of a caller, one second.
const MAX_REPLY_TIME: Micros = 450 * MS;
/// The maximum delay of a reply of a core that knows the loss of its majority: the time for one more probe.
const REPLY_TIME_ONCE_KNOWN: Micros = 75 * MS;
/// The time after the partition when a core knows that it has lost its majority.
const LOSS_KNOWN_AFTER: Micros = 1_300 * MS;
/// The time after the partition during which a report may still be acknowledged by the last confirmation.
const CONFIRMATION_TRUSTED: Micros = 700 * MS;

fn may_use_last_confirmation(kind: CallKind) -> bool {
    matches!(kind, CallKind::Report | CallKind::NewWorker)
}

/// A caller of a core that has lost its majority must be redirected well within its own time-out, in
/// whichever direction frames are lost.
#[test]
fn a_core_without_its_majority_replies_unknown_at_once() {
    for kind in CALL_KINDS {
        for partition in PARTITIONS {
            for age in PARTITION_AGES {
                let mut net = Net::new(3, 3, 1);
                net.register_workers();
                net.partition(&[0], partition);
                net.run(age);
                let name = format!("{kind:?} {partition:?}, {} ms after the partition", age / MS);
                let (reply, elapsed) = net.call(0, kind);
                if may_use_last_confirmation(kind) && age < CONFIRMATION_TRUSTED {
                    continue;
                }
                assert_eq!(reply, Reply::Unknown, "{name}");
                let max_elapsed = if age >= LOSS_KNOWN_AFTER { REPLY_TIME_ONCE_KNOWN } else { MAX_REPLY_TIME };
                assert!(elapsed <= max_elapsed, "{name}: reply after {} ms", elapsed / MS);
            }
        }
    }
}

/// Calls that were received just before a partition must not wait for the full time-out of a change.
#[test]
fn a_core_that_loses_its_majority_while_calls_wait_replies_soon() {
    for kind in [CallKind::Change, CallKind::Read, CallKind::Drain, CallKind::Removal] {
        for partition in PARTITIONS {
            for after in 0..6 {
                let mut net = Net::new(4, 3, 1);
                net.register_workers();
                let request_id = net.send_call(0, kind);
                net.run(after * MS);
                net.partition(&[0], partition);
                let (reply, elapsed) = net.wait_for_reply(request_id);
                let name = format!(
                    "{kind:?} {partition:?}, partitioned {after} ms after it came: {reply:?} after {} ms",
                    elapsed / MS
                );
                assert!(matches!(reply, Reply::Success | Reply::Unknown), "{name}");
                assert!(elapsed <= 2 * MAX_REPLY_TIME, "{name}");
            }
        }
    }
}

/// A node without a vote reaches no voter: it must abandon forwarded calls as soon as a core does.
#[test]
fn a_partitioned_node_without_a_vote_replies_unknown_soon() {
    for kind in CALL_KINDS {
        for partition in PARTITIONS {
            for age in PARTITION_AGES {
                let mut net = Net::new(3, 3, 1);
                net.register_workers();
                net.partition(&[3], partition);
                net.run(age);
                let name = format!("{kind:?} {partition:?}, {} ms after the partition", age / MS);
                let (reply, elapsed) = net.call(3, kind);
                // The confirmation of this node is up to a second older than that of the cores.
                if may_use_last_confirmation(kind) && age < 1_600 * MS {
                    continue;
                }
                assert_eq!(reply, Reply::Unknown, "{name}");
                assert!(elapsed <= MAX_REPLY_TIME, "{name}: reply after {} ms", elapsed / MS);
            }
        }
    }
}

/// The nearest core declines or does not reply. The request must reach another voter within the time-out of
/// the caller.
#[test]
fn a_change_is_forwarded_to_a_core_with_a_majority() {
    // The node's nearest core is partitioned from the other cores, or from all nodes.
    for (name, to_front) in [("from all", true), ("from the cores", false)] {
        for partition in PARTITIONS {
            for kind in [CallKind::Change, CallKind::Read] {
                for age in &PARTITION_AGES[..6] {
                    for near in 0..3 {
                        let mut net = Net::new(3, 3, 3);
                        net.partition(&[near], partition);
                        if !to_front {
                            net.blocked_links.retain(|(node, peer)| *node < 3 && *peer < 3);
                        }
                        net.run(*age);
                        let (reply, elapsed) = net.call(3 + near, kind);
                        let case = format!("{kind:?}, core {near} {partition:?} {name} for {} ms", age / MS);
                        assert_eq!(reply, Reply::Success, "{case}, after {} ms", elapsed / MS);
                        assert!(elapsed < 900 * MS, "{case}: after {} ms", elapsed / MS);
                    }
                }
            }
        }
    }
}

/// Slow disks, delayed and lost frames must not be mistaken for the loss of the majority.
#[test]
fn a_core_with_its_majority_redirects_no_call() {
    // Name, sync delay, percentage of lost frames, maximum delay of a frame, partitioned core.
    let cases: [(&str, Micros, u64, Micros, &[usize]); 7] = [
        ("well", 0, 0, 0, &[]),
        ("disks of 2 ms", 2 * MS, 0, 0, &[]),
        ("disks of 100 ms", 100 * MS, 0, 0, &[]),
        ("late frames", 2 * MS, 0, 150 * MS, &[]),
        ("one frame in ten lost", 2 * MS, 10, 5 * MS, &[]),
        ("a core is lost, disks of 50 ms", 50 * MS, 0, 5 * MS, &[2]),
        ("a core is lost, late frames, some lost", 2 * MS, 2, 60 * MS, &[2]),
    ];
    for (name, sync_delay, loss_percent, max_delay, partitioned) in cases {
        let mut net = Net::new(9, 3, 1);
        net.register_workers();
        net.partition(partitioned, Partition::Both);
        (net.sync_delay, net.loss_percent, net.max_delay) = (sync_delay, loss_percent, max_delay);
        net.run(4 * SEC);
        let mut worst = 0;
        for round in 0..40 {
            net.run(137 * MS);
            for kind in CALL_KINDS {
                let node = [0, 1, 3][round % 3];
                let (reply, elapsed) = net.call(node, kind);
                worst = worst.max(elapsed);
                assert_eq!(
                    reply,
                    Reply::Success,
                    "{name}: {kind:?} at {node}, round {round}, after {} ms",
                    elapsed / MS
                );
            }
        }
        println!("{name}: the slowest reply after {} ms", worst / MS);
    }
}

/// After a pause of the process, replies are still queued. Their absence until then does not prove a
/// partition.
#[test]
fn a_paused_core_is_not_taken_for_partitioned() {
    for paused in [300 * MS, SEC, 3 * SEC, 30 * SEC] {
        for kind in CALL_KINDS {
            let mut net = Net::new(6, 3, 1);
            net.register_workers();
            net.paused.push(0);
            net.run(paused);
            net.paused.clear();
            let (reply, elapsed) = net.call(0, kind);
            assert_eq!(
                reply,
                Reply::Success,
                "{kind:?} after a pause of {} ms, reply after {} ms",
                paused / MS,
                elapsed / MS
            );
        }
    }
}

/// A core that probed too rarely during a partition would redirect calls long after the partition has healed.
#[test]
fn a_core_accepts_calls_again_soon_after_a_partition() {
    for partition in PARTITIONS {
        for kind in CALL_KINDS {
            let mut net = Net::new(7, 3, 1);
            net.register_workers();
            net.partition(&[0], partition);
            net.run(20 * SEC);
            net.blocked_links.clear();
            let at = net.now;
            while net.call(0, kind).0 != Reply::Success {
                assert!(net.now < at + 400 * MS, "{kind:?} {partition:?}: rejected for too long after the partition");
                net.run(10 * MS);
            }
        }
    }
}

/// Two cores that reach only each other are no majority, although each of them receives replies from another
/// core.
#[test]
fn two_of_five_cores_acknowledge_nothing() {
    for kind in [CallKind::Change, CallKind::Read, CallKind::Drain, CallKind::Removal] {
        let mut net = Net::new(5, 5, 2);
        net.register_workers();
        net.partition(&[0, 1], Partition::Both);
        for age in [10 * MS, 2 * SEC, 2 * SEC] {
            net.run(age);
            assert_eq!(net.call(0, kind).0, Reply::Unknown, "{kind:?} in the minority");
        }
        assert_eq!(net.call(3, kind).0, Reply::Success, "{kind:?} in the majority");
    }
}

/// A partitioned holder must lose its leases, and the other cores must take them over.
#[test]
fn a_core_without_its_majority_holds_no_lease() {
    for partition in PARTITIONS {
        for node in 0..3 {
            let mut net = Net::new(11, 3, 1);
            let held = |net: &Net, node: usize| {
                (0..8).filter(|role| net.nodes[node].leases.held.valid_epoch(*role, net.now).is_some()).count()
            };
            net.partition(&[node], partition);
            net.run(SEC);
            assert_eq!(held(&net, node), 0, "core {node} {partition:?}: still grants a second after the partition");
            net.run(SEC);
            let others: usize = (0..3).filter(|peer| *peer != node).map(|peer| held(&net, peer)).sum();
            assert_eq!(others, 8, "core {node} {partition:?}: the others hold all leases");
        }
    }
}

/// A voter that is behind must not answer a read before a majority has confirmed its version, also with lost
/// and delayed frames.
#[test]
fn a_read_returns_all_acknowledged_changes() {
    for seed in 0..12 {
        let mut net = Net::new(seed, 3, 2);
        (net.sync_delay, net.max_delay, net.loss_percent) = (2 * MS, 20 * MS, seed % 3 * 4);
        for index in 0..12 {
            let at = index % 5;
            let base = net.newest_revision();
            let (body, request_id) = (pool_document(base + 3, &format!("k{index}")), 10 + index as u64);
            net.submit_document(at, request_id, base, &body);
            if net.wait_for_reply(request_id).0 != Reply::Success {
                continue;
            }
            let reads: Vec<_> = (0..5).map(|node| net.send_call(node, CallKind::Read)).collect();
            for (node, read) in reads.into_iter().enumerate() {
                if net.wait_for_reply(read).0 == Reply::Success {
                    assert_eq!(
                        net.contents.get(&read),
                        Some(&body),
                        "seed {seed}: read at {node} after a change at {at}"
                    );
                }
            }
        }
    }
}

/// The partition starts while a change is in progress. A retry of the change must succeed, and another change
/// on the same base must be rejected, at every core.
#[test]
fn a_change_with_an_unknown_outcome_is_neither_lost_nor_rejected() {
    let mut unknown = 0;
    for partition in PARTITIONS {
        for after in 0..12 {
            let mut net = Net::new(after, 3, 1);
            net.sync_delay = 2 * MS;
            let (body, other) = (pool_document(5, "mine"), pool_document(6, "other"));
            net.submit_document(0, 1, 1, &body);
            net.run(after * MS);
            net.partition(&[0], partition);
            let first = net.wait_for_reply(1).0;
            let name = format!("{partition:?} {after} ms after it was sent, then the reply {first:?}");
            unknown += u32::from(first == Reply::Unknown);
            // The caller retries at another core.
            net.submit_document(1, 2, 1, &body);
            assert_eq!(net.wait_for_reply(2).0, Reply::Success, "{name}");
            net.submit_document(2, 3, 1, &other);
            assert!(matches!(net.wait_for_reply(3).0, Reply::Rejected(_)), "{name}: two on one base");
            net.run(18 * SEC);
            // At the partitioned core, during the partition and after it.
            net.submit_document(0, 4, 1, &body);
            assert!(matches!(net.wait_for_reply(4).0, Reply::Success | Reply::Unknown), "{name}");
            net.submit_document(0, 5, 1, &other);
            assert!(matches!(net.wait_for_reply(5).0, Reply::Rejected(_) | Reply::Unknown), "{name}");
            net.blocked_links.clear();
            net.run(SEC);
            net.submit_document(0, 6, 1, &body);
            assert_eq!(net.wait_for_reply(6).0, Reply::Success, "{name}, back");
            net.submit_document(0, 7, 1, &other);
            assert!(matches!(net.wait_for_reply(7).0, Reply::Rejected(_)), "{name}, back: two on one base");
            net.run(SEC);
            for node in 0..3 {
                assert_eq!(
                    net.nodes[node].consensus.state.newest().map(|entry| entry.body.clone()),
                    Some(body.clone()),
                    "{name}"
                );
            }
        }
    }
    assert!(unknown > 10, "only {unknown} changes had an unknown outcome");
}

/// A core that receives nothing still sends. If its ballots preempted those of the others, their changes
/// would be delayed.
#[test]
fn a_core_that_receives_nothing_delays_no_change_of_the_others() {
    for after in 0..8 {
        let mut net = Net::new(after, 3, 1);
        net.sync_delay = 2 * MS;
        net.send_call(0, CallKind::Change);
        net.run(after * MS);
        net.partition(&[0], Partition::Inbound);
        net.run(2 * SEC);
        for index in 0..12 {
            let (reply, elapsed) = net.call(1 + index % 2, CallKind::Change);
            assert_eq!(reply, Reply::Success, "partitioned {after} ms after a change, change {index} of the others");
            assert!(
                elapsed < 500 * MS,
                "partitioned {after} ms after a change, change {index} of the others: {} ms",
                elapsed / MS
            );
            net.send_call(0, CallKind::Change);
            net.run(300 * MS);
        }
    }
}

/// The voter that was first sent the change proposes it in a ballot and restarts. Its next incarnation
/// remembers nothing of the proposal and declines the change when it is forwarded again. The caller must not
/// be told that nothing was proposed.
#[test]
fn a_restarted_voter_does_not_decline_for_its_earlier_incarnation() {
    let (cores, front) = (3, 3);
    for seed in 1..6 {
        let mut net = Net::new(seed, cores, 1);
        let request_id = net.send_call(front, CallKind::Change);
        let proposing_core = |net: &Net| {
            net.in_flight
                .values()
                .find(|(from, to, frame)| {
                    matches!(frame.message, Message::Consensus(ConsensusMessage::Accept { .. })) && from != to
                })
                .map(|(from, ..)| *from)
        };
        let end = net.now + SEC;
        while proposing_core(&net).is_none() && net.now < end {
            net.run(MS);
        }
        let voter = proposing_core(&net).expect("the change is proposed in a ballot");
        // From now on the cores receive nothing from each other. The node without a vote reaches all of them.
        net.blocked_links.extend(
            (0..cores).flat_map(|node| (0..cores).filter(move |peer| node != *peer).map(move |peer| (node, peer))),
        );
        let now = net.now;
        net.nodes[voter] = Node::new(node_settings(voter, cores, now), &net.disks[voter], seed, now);
        net.wait_for_reply(request_id);
        net.blocked_links.clear();
        net.run(8 * SEC);
        let is_decided =
            net.nodes.iter().all(|node| node.consensus.state.newest().is_some_and(|entry| entry.revision == 2));
        assert!(is_decided, "seed {seed}: the proposed change is decided in the end");
        assert_eq!(
            net.outcomes.get(&request_id),
            Some(&ChangeOutcome::Unknown),
            "seed {seed}: the answer must not promise that it never will"
        );
    }
}
