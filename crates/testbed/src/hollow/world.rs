use super::load::{GIVE_UP, region, row, tree, zone};
use super::meter::live;
use super::tally::{Role, Row, Tally, group};
use super::{GROUPS, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Instant;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, Version};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings, View};
use sumacvale_core::protocol::{Change, ChangeOutcome, Frame, LogEntry, Voter, decode_frame, encode_frame};
use sumacvale_core::quota::AcquireOutcome;

const TICK: Micros = 25 * MS;
/// One way: within a zone, between zones, between regions.
const NEAR: Micros = 250;
const FAR: Micros = 750;
const REGION: Micros = 40 * MS;
const SYNC: Micros = 2 * MS;

enum Happen {
    Tick(usize),
    Frame(usize, Vec<u8>),
    Synced(usize, u64),
    Beat(u64, u64),
    Call,
    Change,
}

struct Body {
    node: Node,
    zone: u64,
    region: u64,
    version: Option<Version>,
    /// The picture that the data plane of a whole node would hold.
    view: Option<Arc<View>>,
    waits: BTreeMap<String, Vec<Micros>>,
    tally: Tally,
}

/// What a run of one shape showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub rows: Vec<Row>,
    /// From the operator's call until the version is in force on all nodes.
    pub spread: Vec<Micros>,
    pub stale: u64,
    pub calls: u64,
    pub served: u64,
    pub gave_up: u64,
    /// How many workers the nodes hold for living, at the least.
    pub workers: u64,
    pub nodes: u64,
    pub body: u64,
    pub wall_ms: u64,
}

struct World {
    s: Shape,
    now: Micros,
    rng: Rng,
    bodies: Vec<Body>,
    at: HashMap<String, usize>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Happen>,
    n: u64,
    puts: BTreeMap<Version, (Micros, u64)>,
    spread: Vec<Micros>,
    stale: u64,
    changed: u64,
    calls: u64,
    served: u64,
    gave_up: u64,
    owed: u64,
}

fn ix(n: u64) -> usize {
    usize::try_from(n).unwrap_or(0)
}

fn ns(t: Instant) -> u64 {
    u64::try_from(t.elapsed().as_nanos()).unwrap_or(0)
}

impl World {
    fn new(s: Shape) -> World {
        let mut rng = Rng::new(s.seed);
        let addr = |i: u64| format!("10.{}.{}.{}:7000", i % s.zones.max(1), i / 250, i % 250 + 1);
        let node_ids: Vec<_> = (0..s.nodes).map(|_| NodeId(rng.next_u64().max(1))).collect();
        let cores: Vec<_> = (0..s.voters).map(|i| Voter { node_id: node_ids[ix(i)], addr: addr(i) }).collect();
        let decree = LogEntry {
            version: 0,
            change_id: ChangeId(0),
            fleet_id: 7,
            voters_since: 0,
            previous_voters: Vec::new(),
            voters: cores,
            body: tree(&s, 0),
            revision: 0,
            patch: None,
            compressed: Vec::new(),
        };
        let mut w = World {
            s,
            now: SEC,
            rng,
            bodies: Vec::new(),
            at: HashMap::new(),
            heap: BinaryHeap::new(),
            what: HashMap::new(),
            n: 0,
            puts: BTreeMap::new(),
            spread: Vec::new(),
            stale: 0,
            changed: 0,
            calls: 0,
            served: 0,
            gave_up: 0,
            owed: 0,
        };
        for i in 0..s.nodes {
            let core = i < s.cores;
            let me = NodeSettings {
                node_id: node_ids[ix(i)],
                incarnation: 1,
                addr: addr(i),
                admin_addr: addr(i),
                zone: zone(&s, i),
                seeds: (0..s.voters.min(3)).map(addr).collect(),
                is_core: core,
                config_reader: sumacvale_core::config::validate,
                may_bootstrap: true,
                manages_voters: false,
                tolerated_losses: 1,
                report_interval: 500 * MS,
                workers_report_to_cores_only: false,
            };
            let mut kept = DurableState { node_id: node_ids[ix(i)], ..DurableState::default() };
            if core {
                kept.entries.insert(0, decree.clone());
                kept.ready_set = Some(0);
            }
            let seed = w.rng.next_u64();
            w.at.insert(me.addr.clone(), ix(i));
            w.bodies.push(Body {
                node: Node::new(me, &kept, seed, w.now),
                zone: i % s.zones.max(1),
                region: region(&s, i),
                version: core.then_some(0),
                view: None,
                waits: BTreeMap::new(),
                tally: Tally::default(),
            });
            let d = w.rng.next_below(TICK);
            w.push(w.now + d, Happen::Tick(ix(i)));
        }
        for k in 0..s.workers {
            let d = w.rng.next_below(s.beat);
            w.push(w.now + d, Happen::Beat(k, 1));
        }
        if s.calls > 0 {
            w.push(w.now + 3 * SEC, Happen::Call);
        }
        if s.changes > 0 {
            w.push(w.now + s.warm, Happen::Change);
        }
        w
    }

    fn push(&mut self, at: Micros, h: Happen) {
        self.n += 1;
        self.what.insert(self.n, h);
        self.heap.push(Reverse((at, self.n)));
    }

    fn step(&mut self, i: usize, e: Event) {
        let b = &mut self.bodies[i];
        let t = Instant::now();
        let es = b.node.step(e, self.now);
        b.tally.step_ns += ns(t);
        b.tally.steps += 1;
        let v = b.node.version();
        if v != b.version {
            let from = b.version.map_or(0, |v| v + 1);
            b.version = v;
            for v in from..=v.unwrap_or(0) {
                if let Some(p) = self.puts.get_mut(&v) {
                    p.1 += 1;
                    if p.1 == self.s.nodes {
                        self.spread.push(self.now - p.0);
                    }
                }
            }
        }
        for e in es {
            self.carry(i, e);
        }
    }

    fn carry(&mut self, i: usize, e: Effect) {
        match e {
            Effect::Send { to, frame } => self.send(i, &to, &frame),
            Effect::Write { token, .. } => {
                self.bodies[i].tally.writes += 1;
                self.push(self.now + SYNC, Happen::Synced(i, token));
            }
            Effect::CompleteChange { outcome: fate, .. } => {
                if !matches!(fate, ChangeOutcome::Committed { .. }) {
                    self.stale += 1;
                }
            }
            Effect::AcknowledgeReport { .. } | Effect::Reconnect { .. } => {}
            Effect::Publish(v) => self.bodies[i].view = Some(v),
            Effect::WakeTenant { tenant } => self.wake(i, &tenant),
        }
    }

    fn send(&mut self, i: usize, to: &str, f: &Frame) {
        let Some(j) = self.at.get(to).copied() else { return };
        let t = Instant::now();
        let Ok(b) = encode_frame(f) else { return };
        let took = ns(t);
        // Four bytes of length go before each frame on a link.
        let n = b.len() as u64 + 4;
        let (zone, region) = (self.bodies[j].zone, self.bodies[j].region);
        let x = &mut self.bodies[i];
        x.tally.wire_ns += took;
        let o = &mut x.tally.out[group(&f.message)];
        o.0 += 1;
        o.1 += n;
        let lat = if region != x.region {
            x.tally.region += n;
            x.tally.far += n;
            REGION
        } else if zone != x.zone {
            x.tally.far += n;
            FAR
        } else {
            NEAR
        };
        let d = self.rng.next_below(200);
        self.push(self.now + lat + d, Happen::Frame(j, b));
    }

    fn wake(&mut self, i: usize, t: &str) {
        let now = self.now;
        let b = &mut self.bodies[i];
        let Some(v) = b.waits.get_mut(t) else { return };
        while !v.is_empty() && matches!(b.node.quota.slices.acquire_unit(t, now), AcquireOutcome::Acquired { .. }) {
            v.remove(0);
            self.served += 1;
        }
        if v.is_empty() {
            b.waits.remove(t);
        }
    }

    fn need(&mut self, i: usize) {
        let now = self.now;
        let mut gone = 0;
        let mut ts = Vec::new();
        self.bodies[i].waits.retain(|t, v| {
            let n = v.len();
            v.retain(|x| now < *x);
            gone += (n - v.len()) as u64;
            ts.push((t.clone(), v.len() as u64));
            !v.is_empty()
        });
        self.gave_up += gone;
        for (tenant, waiting) in ts.into_iter().filter(|t| t.1 > 0) {
            self.step(i, Event::QuotaNeeded { tenant, waiting });
        }
    }

    /// The calls of ten milliseconds, each of some tenant at some node.
    fn call(&mut self) {
        self.owed += self.s.calls;
        while self.owed >= 100 {
            self.owed -= 100;
            self.calls += 1;
            let i = ix(self.s.voters + self.rng.next_below(self.s.nodes - self.s.voters));
            let t = format!("t{}", self.rng.next_below(self.s.tenants));
            let now = self.now;
            let b = &mut self.bodies[i];
            let waiting = match b.node.quota.slices.acquire_unit(&t, now) {
                AcquireOutcome::Acquired { is_low, .. } => {
                    self.served += 1;
                    if !is_low {
                        continue;
                    }
                    0
                }
                AcquireOutcome::Empty | AcquireOutcome::WindowSpent { .. } | AcquireOutcome::RateExhausted { .. } => {
                    let v = b.waits.entry(t.clone()).or_default();
                    v.push(now + GIVE_UP);
                    v.len() as u64
                }
            };
            self.step(i, Event::QuotaNeeded { tenant: t, waiting });
        }
        self.push(self.now + 10 * MS, Happen::Call);
    }

    fn change(&mut self) {
        let i = ix(self.rng.next_below(self.s.voters));
        if let Some(base) = self.bodies[i].node.version() {
            self.changed += 1;
            let change_id = ChangeId(self.rng.next_u64().max(1));
            let change = Change::Tree(tree(&self.s, self.changed));
            self.puts.entry(base + 1).or_insert((self.now, 0));
            self.step(
                i,
                Event::SubmitChange { request_id: self.changed, change_id, is_first_send: true, base, change },
            );
        }
        self.push(self.now + 1_000 * SEC / self.s.changes, Happen::Change);
    }

    fn beat(&mut self, k: u64, n: u64) {
        let r = row(&self.s, k, n);
        let near: Vec<usize> = (0..ix(self.s.cores)).filter(|i| self.bodies[*i].node.settings.zone == r.zone).collect();
        let i = if near.is_empty() {
            ix(self.rng.next_below(self.s.cores))
        } else {
            near[ix(self.rng.next_below(near.len() as u64))]
        };
        self.step(i, Event::Report(r));
        self.push(self.now + self.s.beat, Happen::Beat(k, n + 1));
    }

    fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, n))) = self.heap.peek().copied() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = at;
            let Some(h) = self.what.remove(&n) else { continue };
            match h {
                Happen::Tick(i) => {
                    self.step(i, Event::Tick);
                    self.need(i);
                    self.push(self.now + TICK, Happen::Tick(i));
                }
                Happen::Frame(j, b) => {
                    let t = Instant::now();
                    let f = decode_frame(&b);
                    let y = &mut self.bodies[j].tally;
                    y.wire_ns += ns(t);
                    y.inn.0 += 1;
                    y.inn.1 += b.len() as u64 + 4;
                    if let Ok(f) = f {
                        self.step(j, Event::Frame(Box::new(f)));
                    }
                }
                Happen::Synced(i, token) => self.step(i, Event::Synced(token)),
                Happen::Beat(k, n) => self.beat(k, n),
                Happen::Call => self.call(),
                Happen::Change => self.change(),
            }
        }
        self.now = until;
    }

    fn role(&self, i: usize) -> Role {
        let b = &self.bodies[i];
        if b.node.is_voter() {
            return Role::Core;
        }
        let (me, z) = (b.node.settings.node_id, &b.node.settings.zone);
        let home = |s: &str| b.node.dissemination.peers.home_nodes(s, z, self.now).contains(&me);
        if home("config") || b.node.config.pools.keys().any(|p| home(p)) { Role::Home } else { Role::Other }
    }
}

/// Runs a fleet of this shape until it has settled, and then measures it.
pub fn run(s: Shape) -> Outcome {
    let t = Instant::now();
    let mut w = World::new(s);
    let end = w.now + s.warm;
    w.run(end);
    for b in &mut w.bodies {
        b.tally = Tally::default();
    }
    (w.calls, w.served, w.gave_up) = (0, 0, 0);
    w.run(end + s.secs * SEC);
    let roles: Vec<_> = (0..w.bodies.len()).map(|i| w.role(i)).collect();
    let now = w.now;
    let workers =
        w.bodies.iter().map(|b| b.node.dissemination.workers.live_workers(now).count() as u64).min().unwrap_or(0);
    let nodes = w.bodies.iter().map(|b| b.node.dissemination.peers.live(now).count() as u64).min().unwrap_or(0);
    let body = tree(&s, 0).len() as u64;
    let World { bodies, spread, stale, calls, served, gave_up, what, .. } = w;
    drop(what);
    // What each node holds is what is free when it is gone.
    let held: Vec<_> = bodies
        .into_iter()
        .map(|b| {
            let t = b.tally.clone();
            let before = live();
            drop(b);
            (t, before - live())
        })
        .collect();
    let rows = [Role::Core, Role::Home, Role::Other]
        .into_iter()
        .filter_map(|r| {
            let v: Vec<_> = held.iter().zip(&roles).filter(|x| *x.1 == r).map(|x| (&x.0.0, x.0.1)).collect();
            (!v.is_empty()).then(|| Row::of(r, &v, s.secs as f64))
        })
        .collect();
    let wall_ms = u64::try_from(t.elapsed().as_millis()).unwrap_or(0);
    Outcome { rows, spread, stale, calls, served, gave_up, workers, nodes, body, wall_ms }
}

const _: () = assert!(GROUPS.len() == 9);
