//! Three cores and a front that are stepped directly, with wires and disks that can fail.

use super::nodes::{self, addr, core, founded};
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, LogEntry, Message, Voter,
};

pub const CORES: usize = 3;
/// A front, which hands changes on.
pub const FRONT: usize = 3;
pub const ALL: usize = 4;

/// Nodes with wires of a millisecond.
pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub wires: BTreeMap<(Micros, u64), (usize, Frame)>,
    /// What each node has on its disk; a front has none.
    pub kept: Vec<DurableState>,
    pub cut: Vec<usize>,
    pub dead: Vec<usize>,
    /// So many of a hundred frames don't arrive.
    pub lost: u64,
    pub rng: Rng,
    pub n: u64,
    pub fates: BTreeMap<u64, ChangeOutcome>,
    /// Who each machine is: one that lost its disk comes back as another.
    pub ids: Vec<NodeId>,
    /// Kinds of messages that get lost.
    pub mute: Vec<&'static str>,
    /// Machines whose disk stands still, and what waits for it.
    pub stalled: Vec<usize>,
    pub waiting: Vec<(usize, u64, Vec<DurableWrite>)>,
    /// Bytes of versions told to askers, by the teller and the moment.
    pub told: BTreeMap<(usize, Micros), usize>,
    /// Every message that was sent: by whom, its kind, and the answer that it brings.
    pub sent: Vec<(usize, &'static str, Option<ChangeOutcome>)>,
    /// Bytes of versions and changes that went to other machines.
    pub bytes: usize,
}

/// The bytes of versions and changes in a message.
fn bytes(msg: &Message) -> usize {
    match msg {
        Message::Consensus(ConsensusMessage::Promise { accepted: Some((_, decree)), .. })
        | Message::Consensus(ConsensusMessage::Accept { entry: decree, .. }) => decree.size(),
        Message::Consensus(ConsensusMessage::Replicate { entries: decrees }) => {
            decrees.iter().map(LogEntry::size).sum()
        }
        Message::Dissemination(DisseminationMessage::Update { preceding: before, entry: decree, .. }) => {
            before.iter().chain(decree).map(LogEntry::size).sum()
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
        let k = founded(CORES, "{}".into(), 0);
        let kept: Vec<_> = (0..ALL).map(|i| if i < CORES { k.clone() } else { DurableState::default() }).collect();
        let nodes = kept.iter().enumerate().map(|(i, k)| Node::new(me(i, SEC), k, seed * 10 + i as u64, SEC)).collect();
        let mut n = Net {
            now: SEC,
            nodes,
            kept,
            wires: BTreeMap::new(),
            cut: Vec::new(),
            dead: Vec::new(),
            lost: 0,
            rng: Rng::new(seed),
            n: 0,
            fates: BTreeMap::new(),
            ids: (0..ALL).map(|i| core(i).node_id).collect(),
            mute: Vec::new(),
            stalled: Vec::new(),
            told: BTreeMap::new(),
            waiting: Vec::new(),
            sent: Vec::new(),
            bytes: 0,
        };
        n.run(4 * SEC);
        n
    }

    pub fn step(&mut self, i: usize, e: Event) {
        let now = self.now;
        if self.dead.contains(&i) {
            return;
        }
        for e in self.nodes[i].step(e, now) {
            match e {
                Effect::Send { to, frame } => {
                    if let Message::Dissemination(DisseminationMessage::Update { entry: Some(d), .. }) = &frame.message
                    {
                        *self.told.entry((i, now)).or_default() += d.size();
                    }
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    if i != j {
                        self.bytes += bytes(&frame.message);
                    }
                    let answer = if let Message::Consensus(ConsensusMessage::ForwardReply { outcome: fate, .. }) =
                        &frame.message
                    {
                        Some(fate.clone())
                    } else {
                        None
                    };
                    if !matches!(frame.message, Message::Dissemination(DisseminationMessage::Gossip { .. })) {
                        let name = frame.message.name();
                        let lost = self.mute.contains(&name);
                        self.sent.push((i, name, answer));
                        if lost {
                            continue;
                        }
                    }
                    if i != j && (self.cut.contains(&i) || self.cut.contains(&j)) {
                        continue;
                    }
                    if self.lost > 0 && self.rng.chance(self.lost) {
                        continue;
                    }
                    self.n += 1;
                    self.wires.insert((now + MS, self.n), (j, *frame));
                }
                Effect::Write { token, writes: ops } if self.stalled.contains(&i) => self.waiting.push((i, token, ops)),
                Effect::Write { token, writes: ops } => {
                    ops.iter().for_each(|o| self.kept[i].apply(o));
                    self.step(i, Event::Synced(token));
                }
                Effect::CompleteChange { request_id: req, outcome: fate } => {
                    self.fates.insert(req, fate);
                }
                _ => {}
            }
        }
    }

    /// Number and document of each version that any node or disk ever had.
    pub fn known(&self, all: &mut BTreeMap<u64, (u64, String)>) {
        let kept = self.kept.iter().flat_map(|k| k.entries.values());
        for d in self.nodes.iter().flat_map(|x| x.consensus.state.history.values()).chain(kept) {
            let o = all.entry(d.version).or_insert_with(|| (d.revision, d.body.clone()));
            assert_eq!(o.1, d.body, "version {} is one document", d.version);
        }
    }

    /// Its process ended and starts anew, with its disk.
    pub fn start(&mut self, i: usize) {
        let (now, seed) = (self.now, self.rng.next_u64());
        let me = NodeSettings { node_id: self.ids[i], ..me(i, now) };
        self.nodes[i] = Node::new(me, &self.kept[i], seed, now);
        self.dead.retain(|d| *d != i);
    }

    /// Its disk was lost: it starts as somebody else, and takes the old one's place.
    pub fn wipe(&mut self, i: usize) {
        self.kept[i] = DurableState::default();
        self.ids[i] = NodeId(100 + self.now);
        self.start(i);
        self.run(2 * SEC);
        let cores = (0..CORES).map(|j| Voter { node_id: self.ids[j], addr: addr(j) }).collect();
        let (by, base) = ((i + 1) % CORES, self.nodes[(i + 1) % CORES].version().expect("has a version"));
        let req = 500_000 + self.n;
        let change_id = ChangeId(req);
        self.step(
            by,
            Event::SubmitChange {
                request_id: req,
                change_id,
                is_first_send: true,
                base,
                change: Change::Voters(cores),
            },
        );
        assert_eq!(self.wait(req, 4 * SEC), "done");
    }

    /// Runs until this order was answered.
    pub fn wait(&mut self, req: u64, most: Micros) -> String {
        let end = self.now + most;
        while !self.fates.contains_key(&req) && self.now < end {
            self.run(5 * MS);
        }
        self.end(req)
    }

    /// Sends one and runs only until it is answered.
    pub fn put_soon(&mut self, i: usize, base: u64, body: &str) -> String {
        let req = 1_000 + self.n;
        self.n += 1;
        self.put(i, req, base, body);
        self.wait(req, 5 * SEC)
    }

    /// The disks go on.
    pub fn resume(&mut self) {
        self.stalled.clear();
        for (i, token, ops) in std::mem::take(&mut self.waiting) {
            ops.iter().for_each(|o| self.kept[i].apply(o));
            self.step(i, Event::Synced(token));
        }
    }

    /// So many documents after the one with this number, through the cores that run.
    pub fn many(&mut self, from: u64, count: u64, body: impl Fn(u64) -> String) -> u64 {
        for revision in from + 1..=from + count {
            let up: Vec<_> = (0..CORES).filter(|i| !self.dead.contains(i)).collect();
            let by = up[usize::try_from(revision).expect("small") % up.len()];
            assert_eq!(self.put_soon(by, revision - 1, &body(revision)), "done", "{revision}");
        }
        from + count
    }

    pub fn run(&mut self, t: Micros) {
        let end = self.now + t;
        while self.now < end {
            self.now += MS;
            while let Some(e) = self.wires.first_entry().filter(|e| e.key().0 <= self.now) {
                let (j, f) = e.remove();
                self.step(j, Event::Frame(Box::new(f)));
            }
            if self.now.is_multiple_of(25 * MS) {
                for i in 0..ALL {
                    self.step(i, Event::Tick);
                }
            }
        }
    }

    pub fn put(&mut self, i: usize, req: u64, base: u64, body: &str) {
        let change_id = ChangeId(hash64(body.as_bytes()).max(1));
        self.step(
            i,
            Event::SubmitChange {
                request_id: req,
                change_id,
                is_first_send: false,
                base,
                change: Change::Document(body.to_owned()),
            },
        );
    }

    /// Sends one and waits for its end, which must come within the time that one who asks waits.
    pub fn put_now(&mut self, i: usize, base: u64, body: &str) -> String {
        let req = 1_000 + self.n;
        self.n += 1;
        self.put(i, req, base, body);
        self.run(4 * SEC);
        self.end(req)
    }

    pub fn cores(&mut self, req: u64, base: u64, of: &[usize]) {
        let cs = of.iter().map(|i| core(*i)).collect();
        self.step(
            0,
            Event::SubmitChange {
                request_id: req,
                change_id: ChangeId(77),
                is_first_send: true,
                base,
                change: Change::Voters(cs),
            },
        );
    }

    pub fn end(&self, req: u64) -> String {
        match self.fates.get(&req) {
            None => "none".into(),
            Some(ChangeOutcome::Committed { .. }) => "done".into(),
            Some(ChangeOutcome::Stale { .. }) => "stale".into(),
            Some(ChangeOutcome::Invalid { .. }) => "invalid".into(),
            Some(f) => format!("{f:?}"),
        }
    }

    /// Version and document that every node holds that is not cut off.
    pub fn held(&self) -> (u64, String) {
        let mut v: Vec<_> = (0..CORES)
            .filter(|i| !self.cut.contains(i))
            .map(|i| self.nodes[i].consensus.state.newest().map_or((0, String::new()), |d| (d.version, d.body.clone())))
            .collect();
        v.dedup();
        assert_eq!(v.len(), 1, "{v:?}");
        v.remove(0)
    }
}
