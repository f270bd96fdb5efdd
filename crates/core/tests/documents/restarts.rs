//! Outcomes of changes over restarts: replies that come late or twice, also to a process that was restarted since.

use super::net::{ALL, CORES, FRONT, SimulatedNetwork};
use super::nodes::pool_document;
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, MS, Micros, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, ChangeOutcome, ConsensusMessage, Frame, Message};

/// The distance between the request numbers of two machines. Each process counts its callers' requests from 1.
const NUMBERS_PER_MACHINE: u64 = 100_000;
/// The longest time that a frame is late, in milliseconds.
const MAX_DELAY_MS: u64 = 3_000;

/// A network whose machines freeze, restart, and receive frames late and twice; the outcomes that callers see.
struct Callers {
    net: SimulatedNetwork,
    /// The number of the newest request of each machine's process.
    last_request: [u64; ALL],
    /// The bodies that the running processes were sent and have not answered; `None` for a read.
    open: BTreeMap<u64, Option<String>>,
    /// The body that each acknowledged version must have.
    acknowledged: BTreeMap<u64, String>,
    /// The bodies that callers were told are rejected.
    rejected: BTreeSet<String>,
    /// When each frozen machine wakes.
    frozen_until: BTreeMap<usize, Micros>,
    /// The messages of the consensus that were delivered, with their receivers, for replays to later processes.
    seen: Vec<(usize, Frame)>,
    outcome_count: BTreeMap<&'static str, u64>,
}

impl Callers {
    fn new(seed: u64) -> Callers {
        Callers {
            net: SimulatedNetwork::new(seed),
            last_request: [0; ALL],
            open: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            rejected: BTreeSet::new(),
            frozen_until: BTreeMap::new(),
            seen: Vec::new(),
            outcome_count: BTreeMap::new(),
        }
    }

    /// Submits a document or, without a body, a read.
    fn submit(&mut self, machine: usize, base: u64, body: Option<String>) -> u64 {
        self.last_request[machine] += 1;
        let request_id = machine as u64 * NUMBERS_PER_MACHINE + self.last_request[machine];
        self.open.insert(request_id, body.clone());
        let (change_id, change) = match body {
            Some(body) => (ChangeId(sumacvale_core::base::hash64(body.as_bytes()).max(1)), Change::Document(body)),
            None => (ChangeId(0), Change::ReadNewest),
        };
        self.net.step(machine, Event::SubmitChange { request_id, change_id, is_first_send: false, base, change });
        self.check_outcomes();
        request_id
    }

    /// Restarts the process of a machine: its callers lose their connections, and it counts requests from 1 again.
    fn restart(&mut self, machine: usize) {
        self.net.restart(machine);
        self.forget_callers(machine);
    }

    /// Replaces a core that lost its disk by a new voter, once nothing else disturbs the fleet.
    fn replace_voter(&mut self, machine: usize) {
        self.frozen_until.clear();
        self.run(4 * SEC);
        self.net.lose_disk(machine);
        self.forget_callers(machine);
    }

    fn forget_callers(&mut self, machine: usize) {
        self.last_request[machine] = 0;
        self.open.retain(|request_id, _| request_id / NUMBERS_PER_MACHINE != machine as u64);
        self.net.outcomes.clear();
    }

    /// Freezes a machine: what is sent to it waits until it wakes.
    fn freeze(&mut self, machine: usize, duration: Micros) {
        self.frozen_until.insert(machine, self.net.now + duration);
    }

    fn run(&mut self, duration: Micros) {
        let end = self.net.now + duration;
        while self.net.now < end {
            self.hold_frames_of_frozen_machines();
            self.net.run(MS);
            self.check_outcomes();
        }
    }

    fn hold_frames_of_frozen_machines(&mut self) {
        let next = self.net.now + MS;
        self.frozen_until.retain(|_, until| *until > next);
        let due: Vec<_> = self.net.in_flight.range(..=(next, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            let Some((receiver, frame)) = self.net.in_flight.remove(&key) else { continue };
            let time = self.frozen_until.get(&receiver).copied().unwrap_or(key.0);
            if matches!(frame.message, Message::Consensus(_)) && self.seen.len() < 20_000 {
                self.seen.push((receiver, frame.clone()));
            }
            self.net.in_flight.insert((time, key.1), (receiver, frame));
        }
    }

    /// Delivers some frames of before again, each after a delay of its own.
    fn replay(&mut self, machine: usize, count: usize) {
        let to_machine: Vec<_> = self.seen.iter().filter(|(receiver, _)| *receiver == machine).cloned().collect();
        for _ in 0..count.min(to_machine.len()) {
            let index = usize::try_from(self.net.rng.next_below(to_machine.len() as u64)).expect("small");
            let delay = (1 + self.net.rng.next_below(MAX_DELAY_MS)) * MS;
            self.net.sequence += 1;
            let key = (self.net.now + delay, self.net.sequence);
            self.net.in_flight.insert(key, to_machine[index].clone());
        }
    }

    /// Checks that each outcome is that of the request that it completes.
    fn check_outcomes(&mut self) {
        for (request_id, outcome) in std::mem::take(&mut self.net.outcomes) {
            let Some(body) = self.open.remove(&request_id) else { continue };
            match (body, outcome) {
                (Some(body), ChangeOutcome::Committed { version }) => {
                    *self.outcome_count.entry("committed").or_default() += 1;
                    let known = self.acknowledged.entry(version).or_insert_with(|| body.clone());
                    assert_eq!(*known, body, "two changes are acknowledged as version {version}");
                }
                (Some(body), ChangeOutcome::Stale { .. } | ChangeOutcome::NoQuorum) => {
                    *self.outcome_count.entry("stale").or_default() += 1;
                    self.rejected.insert(body);
                }
                (None, ChangeOutcome::Content { text }) => {
                    *self.outcome_count.entry("read").or_default() += 1;
                    assert!(text.starts_with('{'), "a read returns a document: {text}");
                }
                (None, ChangeOutcome::NoQuorum | ChangeOutcome::Unknown) | (Some(_), ChangeOutcome::Unknown) => {}
                (body, outcome) => panic!("request {request_id} for {body:?} ends with {outcome:?}"),
            }
        }
    }

    /// Checks the acknowledged versions against what the nodes hold in the end.
    fn check_end(&mut self) {
        self.frozen_until.clear();
        self.run(8 * SEC);
        let mut decided = BTreeMap::new();
        self.net.collect_decided(&mut decided);
        for (version, body) in &self.acknowledged {
            assert_eq!(decided.get(version).map(|entry| &entry.1), Some(body), "version {version} was acknowledged");
        }
        for (version, (_, body)) in &decided {
            assert!(!self.rejected.contains(body), "version {version} was rejected: {body}");
        }
    }
}

/// Guards against the outcome of a change of the process before the restart that is taken for that of another change: the
/// voter which was sent the first change wakes once the new process has sent the second one.
#[test]
fn a_reply_to_the_process_before_is_no_outcome_of_a_change() {
    for frozen in 0..CORES {
        for forwards_before in 1..4 {
            let mut callers = Callers::new(frozen as u64);
            callers.submit(0, 0, Some(pool_document(1, "a")));
            callers.run(2 * SEC);
            for _ in 1..forwards_before {
                callers.submit(FRONT, 0, None);
                callers.run(SEC);
            }
            callers.freeze(frozen, 2 * SEC);
            callers.submit(FRONT, 1, Some(pool_document(3, "first")));
            callers.run(300 * MS);
            callers.restart(FRONT);
            callers.run(1_600 * MS);
            for _ in 1..forwards_before {
                callers.submit(FRONT, 0, None);
            }
            callers.submit(FRONT, 1, Some(pool_document(4, "second")));
            callers.run(4 * SEC);
            callers.check_end();
        }
    }
}

/// Guards against a doubled reply, or one of a node that was not asked, that completes a request.
#[test]
fn only_the_voters_that_were_sent_a_change_complete_it() {
    let mut callers = Callers::new(9);
    callers.submit(0, 0, Some(pool_document(1, "a")));
    callers.run(2 * SEC);
    (0..CORES).for_each(|machine| callers.freeze(machine, 150 * MS));
    callers.submit(FRONT, 1, Some(pool_document(2, "b")));
    let forwarded = callers.net.in_flight.values().find_map(|(receiver, frame)| match frame.message {
        Message::Consensus(ConsensusMessage::Forward { request_id, .. }) => {
            Some((*receiver, request_id, frame.clone()))
        }
        _ => None,
    });
    let (receiver, request_id, frame) = forwarded.expect("the change is forwarded");
    let other = (0..CORES).find(|machine| *machine != receiver).expect("another core");
    for outcome in [ChangeOutcome::Committed { version: 1 }, ChangeOutcome::Stale { version: 1 }] {
        let message = Message::Consensus(ConsensusMessage::ForwardReply { request_id, outcome });
        let (from, to) = (callers.net.node_ids[other], frame.from);
        let reply = Frame { from, to, incarnation: SEC, message, ..frame.clone() };
        callers.net.step(FRONT, Event::Frame(Box::new(reply)));
        assert!(callers.net.outcomes.is_empty(), "a node that was not asked has no say");
    }
    callers.run(2 * SEC);
    assert_eq!(callers.acknowledged.get(&2), Some(&pool_document(2, "b")));
    callers.check_end();
}

/// Random restarts, freezes, late and doubled frames, and a change of the voters: each outcome belongs to its own request.
#[test]
fn over_restarts_each_outcome_belongs_to_its_own_request() {
    let mut counts: BTreeMap<&'static str, u64> = BTreeMap::new();
    for seed in 0..40 {
        let mut callers = Callers::new(seed);
        for number in 0..40 {
            if number == 20 {
                callers.replace_voter(usize::try_from(seed % 3).expect("small"));
                (0..ALL).for_each(|machine| callers.replay(machine, 60));
            }
            let machine = usize::try_from(callers.net.rng.next_below(ALL as u64)).expect("small");
            let submitter = if callers.net.rng.chance_percent(70) { FRONT } else { machine };
            let base = callers.net.nodes[submitter].consensus.state.newest().map_or(0, |entry| entry.revision);
            let body = pool_document(base + 1 + callers.net.rng.next_below(3), &format!("p{seed}x{number}"));
            callers.submit(submitter, base, read_or_document(number, body));
            match callers.net.rng.next_below(6) {
                0 => callers.restart(FRONT),
                1 => callers.restart(machine),
                2 if machine < CORES => callers.freeze(machine, 1_500 * MS),
                3 => callers.replay(FRONT, 30),
                4 => callers.replay(machine, 10),
                _ => {}
            }
            let pause = callers.net.rng.next_below(400) * MS;
            callers.run(pause + MS);
        }
        callers.check_end();
        for (outcome, count) in callers.outcome_count {
            *counts.entry(outcome).or_default() += count;
        }
    }
    for outcome in ["committed", "stale", "read"] {
        assert!(counts.get(outcome).is_some_and(|count| *count >= 50), "too few outcomes to tell: {counts:?}");
    }
}

/// Every fifth request is a read, which has no body.
fn read_or_document(number: u64, body: String) -> Option<String> {
    (!number.is_multiple_of(5)).then_some(body)
}
