use super::report::{Report, Seen};
use super::shape::Shape;
use super::traffic::{Call, Plan, calls};
use super::worker::{Came, Seq, Worker};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use sumacvale_core::base::{MS, Micros, Rng, hash64, rendezvous_weight};
use sumacvale_core::config::PlacementWeights;
use sumacvale_core::placement::{
    CallOutcome, EngineModels, PlacementContext, PlacementTable, PromptRequest, WorkerLoads,
};
use sumacvale_core::protocol::WorkerReport;

/// How a front chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The placement of `sumacvale-core`.
    Place,
    /// The ring with bounded loads, as calls without prompts' parts are placed.
    Ring,
    /// The least own and reported load in the zone.
    Least,
    /// Plain rendezvous hashing in the zone.
    Hash,
    /// All is known, at once and exactly.
    Oracle,
}

impl Way {
    pub const ALL: [Way; 5] = [Way::Place, Way::Ring, Way::Least, Way::Hash, Way::Oracle];

    pub fn name(self) -> &'static str {
        match self {
            Way::Place => "place",
            Way::Ring => "ring",
            Way::Least => "least",
            Way::Hash => "hash",
            Way::Oracle => "oracle",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Case {
    pub shape: Shape,
    pub way: Way,
    pub set: PlacementWeights,
    pub seed: u64,
    pub seconds: u64,
    pub load: f64,
    /// A third of the workers is lost in the middle third.
    pub lose: bool,
    pub hot: f64,
    pub burst: f64,
}

impl Case {
    pub fn new(shape: Shape, way: Way, seed: u64) -> Self {
        let set = PlacementWeights {
            kv_cache_tokens: shape.engine.memory,
            tokens_per_event: shape.engine.stride,
            ..PlacementWeights::default()
        };
        Case { shape, way, set, seed, seconds: 34, load: 1.0, lose: false, hot: 0.0, burst: 1.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Call(usize),
    /// It reaches its worker.
    There(usize, usize),
    Step(usize),
    /// The first piece reaches its front with the worker's load.
    First(usize, u32, u32),
    End(usize),
    Declined(usize),
    /// Its client gives up.
    Due(usize),
    Broke(usize),
    Lose,
    /// Its loss is known everywhere.
    Known,
    Back,
}

struct Front {
    zone: usize,
    e: EngineModels,
    l: WorkerLoads,
    /// Own calls, and what each worker last said of others.
    own: Vec<(u32, u32)>,
}

struct World {
    c: Case,
    calls: Vec<Call>,
    ws: Vec<Worker>,
    fs: Vec<Front>,
    table: PlacementTable,
    seen: Vec<Seen>,
    rng: Rng,
    q: BinaryHeap<Reverse<(Micros, u64, Ev)>>,
    n: u64,
    ns: (u64, u64),
}

pub fn run(c: &Case) -> Report {
    let s = c.shape;
    let p = Plan { seconds: c.seconds, seed: c.seed, load: c.load, hot: c.hot, burst: c.burst };
    let calls = calls(&s, &p);
    // One of three is slower, in every zone.
    let ws: Vec<_> = (0..s.workers)
        .map(|i| Worker::new(s.engine, if i / s.zones % 3 == 2 { 1.3 } else { 1.0 }, i % s.zones))
        .collect();
    let fs = (0..s.fronts)
        .map(|i| Front {
            zone: i % s.zones,
            e: EngineModels::new(c.seed * 1000 + i as u64),
            l: WorkerLoads::default(),
            own: vec![(0, 0); s.workers],
        })
        .collect();
    let seen = calls.iter().map(|_| Seen::default()).collect();
    let mut w = World {
        table: PlacementTable::default(),
        rng: Rng::new(c.seed ^ 77),
        c: c.clone(),
        calls,
        ws,
        fs,
        seen,
        q: BinaryHeap::new(),
        n: 0,
        ns: (0, 0),
    };
    w.table = w.known();
    for i in 0..w.calls.len() {
        w.at(w.calls[i].at, Ev::Call(i));
    }
    if c.lose {
        let t = c.seconds * 1_000 * MS / 3;
        w.at(t, Ev::Lose);
        w.at(2 * t, Ev::Back);
    }
    while let Some(Reverse((now, _, e))) = w.q.pop() {
        w.step(e, now);
    }
    let read: u64 = w.ws.iter().map(|x| x.shared).sum();
    // Once somewhere each part must be read.
    let ever: BTreeMap<u64, u32> = w.ws.iter().flat_map(|x| x.ever.clone()).collect();
    let shared = (read, read - ever.values().map(|n| u64::from(*n)).sum::<u64>());
    let back = w.ws.iter().map(|x| x.put_back).sum();
    Report::new(c, &w.calls, &w.seen, shared, back, w.ns)
}

fn worker_id(i: usize) -> String {
    format!("w{i:03}")
}

impl World {
    fn known(&self) -> PlacementTable {
        let rs: Vec<_> = (0..self.ws.len())
            .filter(|i| !self.ws[*i].gone)
            .map(|i| WorkerReport {
                worker_id: worker_id(i),
                pool: "p".into(),
                addr: format!("10.0.0.1:{}", 1_000 + i),
                zone: format!("z{}", self.ws[i].zone),
                incarnation: 1,
                seq: self.n,
                slots: self.c.shape.engine.slots as u32,
                busy: 0,
                draining: false,
                warm_up_left: 0,
                removed: false,
                age: 0,
            })
            .collect();
        PlacementTable::new(rs.iter())
    }

    fn at(&mut self, t: Micros, e: Ev) {
        self.n += 1;
        self.q.push(Reverse((t, self.n, e)));
    }

    fn link(&mut self, f: usize, w: usize) -> Micros {
        let far = self.fs[f].zone != self.ws[w].zone;
        let ms = if far { self.c.shape.cross_ms } else { 0.2 };
        (ms * 1e3) as Micros + self.rng.below(200)
    }

    fn step(&mut self, e: Ev, now: Micros) {
        match e {
            Ev::Call(i) => self.call(i, now),
            Ev::There(i, w) => {
                let f = self.calls[i].front;
                if self.ws[w].gone || self.ws[w].full() {
                    let d = self.link(f, w);
                    let e = if self.ws[w].gone { Ev::Broke(i) } else { Ev::Declined(i) };
                    self.at(now + d, e);
                    return;
                }
                let c = &self.calls[i];
                self.ws[w].take(Seq {
                    call: i,
                    urgency: c.ask.urgency,
                    came: 0,
                    due: c.at + c.ask.time_left,
                    chain: c.ask.chain().iter().map(|l| (l.key, l.tokens)).collect(),
                    unread: c.ask.tokens() as u32,
                    made: 0,
                    out: c.tokens_out,
                    read: 0,
                });
                self.go(w, now);
            }
            Ev::Step(w) => {
                if self.ws[w].gone {
                    return;
                }
                let mut out = Vec::new();
                self.ws[w].done(&mut out);
                for o in out {
                    self.came(w, o, now);
                }
                self.ws[w].stepping = false;
                self.go(w, now);
            }
            Ev::First(i, r, q) => {
                let (f, w, n) = self.of(i);
                let x = &mut self.fs[f];
                x.own[w].1 = (r + q).saturating_sub(x.own[w].0);
                x.e.record_first_token("p", &worker_id(w), n, now);
                x.e.record_load("p", &worker_id(w), r, q, now);
            }
            Ev::Due(i) if !self.seen[i].done => self.over(i, CallOutcome::Failed, now),
            Ev::Due(_) => {}
            Ev::End(i) => self.over(i, CallOutcome::Done, now),
            Ev::Declined(i) => {
                let w = self.seen[i].worker;
                self.over(i, CallOutcome::Declined, now);
                self.again(i, w, now);
            }
            Ev::Broke(i) => {
                let (f, w, _) = self.of(i);
                self.over(i, CallOutcome::Failed, now);
                if let Some(p) = self.table.endpoints.iter().find(|p| p.worker_id == worker_id(w)) {
                    self.fs[f].l.mark_failed(&p.worker_id, p.incarnation, p.seq);
                }
                if self.seen[i].first.is_none() {
                    self.again(i, w, now);
                }
            }
            Ev::Lose => {
                for w in (0..self.ws.len()).filter(|w| (w / self.c.shape.zones).is_multiple_of(3)).collect::<Vec<_>>() {
                    for i in self.ws[w].crash() {
                        let d = self.link(self.calls[i].front, w);
                        self.at(now + d, Ev::Broke(i));
                    }
                }
                self.at(now + 1_500 * MS, Ev::Known);
            }
            Ev::Known => self.table = self.known(),
            Ev::Back => {
                for i in 0..self.ws.len() {
                    if self.ws[i].gone {
                        self.ws[i] = self.ws[i].anew();
                    }
                }
                self.table = self.known();
            }
        }
    }

    fn of(&self, i: usize) -> (usize, usize, u64) {
        (self.calls[i].front, self.seen[i].worker, self.seen[i].ticket)
    }

    fn go(&mut self, w: usize, now: Micros) {
        if self.ws[w].stepping {
            return;
        }
        if let Some(d) = self.ws[w].step(now) {
            self.ws[w].stepping = true;
            self.at(now + d, Ev::Step(w));
        }
    }

    fn came(&mut self, w: usize, o: Came, now: Micros) {
        match o {
            Came::Piece { call, first } => {
                let d = self.link(self.calls[call].front, w);
                let s = &mut self.seen[call];
                if let Some(p) = s.last {
                    s.gap = s.gap.max(now - p);
                }
                s.last = Some(now);
                if first && s.first.is_none() {
                    let extra = (self.c.shape.engine.first_ms * 1e3) as Micros;
                    s.first = Some(now + d + extra);
                    let (r, q) = self.ws[w].load();
                    self.at(now + d + extra, Ev::First(call, r, q));
                }
            }
            Came::End { call } => {
                let d = self.link(self.calls[call].front, w);
                self.seen[call].done = true;
                self.at(now + d + (self.c.shape.engine.first_ms * 1e3) as Micros, Ev::End(call));
            }
        }
    }

    fn over(&mut self, i: usize, o: CallOutcome, now: Micros) {
        let (f, w, n) = self.of(i);
        let s = &mut self.seen[i];
        if s.over == s.tries {
            return;
        }
        s.over = s.tries;
        let x = &mut self.fs[f];
        x.own[w].0 = x.own[w].0.saturating_sub(1);
        x.e.record_end("p", &worker_id(w), n, o, now);
    }

    fn again(&mut self, i: usize, w: usize, now: Micros) {
        if self.seen[i].tries < 2 {
            self.seen[i].skip.push(worker_id(w));
            self.call(i, now);
        }
    }

    fn call(&mut self, i: usize, now: Micros) {
        let f = self.calls[i].front;
        let begin = std::time::Instant::now();
        let at = self.choose(i, f, now);
        let Some(k) = at else {
            self.seen[i].refused = true;
            return;
        };
        let p = &self.table.endpoints[k];
        let w: usize = p.worker_id[1..].parse().unwrap_or(0);
        let x = &mut self.fs[f];
        x.own[w].0 += 1;
        let s = &mut self.seen[i];
        s.ticket = x.e.record_start("p", p, &self.calls[i].ask, &self.c.set, now);
        self.ns = (self.ns.0 + begin.elapsed().as_nanos() as u64, self.ns.1 + 1);
        s.worker = w;
        s.tries += 1;
        s.far |= x.zone != self.ws[w].zone;
        let d = self.link(f, w);
        self.at(now + d, Ev::There(i, w));
        let due = self.calls[i].at + self.calls[i].ask.time_left;
        self.at(due.max(now), Ev::Due(i));
    }

    fn choose(&mut self, i: usize, f: usize, now: Micros) -> Option<usize> {
        let (a, x, t) = (&self.calls[i].ask, &self.fs[f], &self.table);
        let (zone, skip) = (format!("z{}", x.zone), &self.seen[i].skip);
        let ok = |k: &usize| !skip.contains(&t.endpoints[*k].worker_id) && !x.l.has_failed(&t.endpoints[*k]);
        let near = |k: usize| t.endpoints[k].zone == zone;
        let of = |k: usize| t.endpoints[k].worker_id[1..].parse::<usize>().unwrap_or(0);
        let key = a.chain().iter().rev().nth(1).map_or(0, |l| l.key);
        match self.c.way {
            Way::Place => {
                let s = PlacementContext { pool: "p", zone: &zone, weights: &self.c.set, excluded: skip, now };
                x.e.choose(t, a, &s, &x.l)
            }
            Way::Ring => {
                let load: Vec<_> = (0..t.endpoints.len())
                    .map(|k| if ok(&k) { x.own[of(k)].0 + x.own[of(k)].1 } else { u32::MAX })
                    .collect();
                t.nominate(key, &zone, &load, skip)
            }
            Way::Least => (0..t.endpoints.len()).filter(ok).min_by_key(|k| {
                let o = x.own[of(*k)];
                (!near(*k), o.0 + o.1, rendezvous_weight(now, t.endpoints[*k].worker_id.as_bytes()))
            }),
            Way::Hash => (0..t.endpoints.len())
                .filter(ok)
                .max_by_key(|k| (near(*k), hash64(&[key.to_le_bytes(), (of(*k) as u64).to_le_bytes()].concat()))),
            Way::Oracle => (0..t.endpoints.len())
                .filter(ok)
                .filter(|k| !self.ws[of(*k)].gone)
                .map(|k| (k, self.exact(a, of(k), !near(k))))
                .min_by(|p, q| p.1.total_cmp(&q.1))
                .map(|p| p.0),
        }
    }

    /// The same cost as in `sumacvale-core`, by what is really so.
    fn exact(&self, a: &PromptRequest, w: usize, far: bool) -> f64 {
        let (x, e) = (&self.ws[w], &self.c.shape.engine);
        let chain: Vec<_> = a.chain().iter().map(|l| (l.key, l.tokens)).collect();
        let unread = a.tokens() as f64 - f64::from(x.has(&chain));
        let shared: f64 = chain[..chain.len() - 1].iter().map(|l| f64::from(l.1)).sum();
        let again = (shared - f64::from(x.has(&chain[..chain.len() - 1]))).max(0.0);
        let each = x.slow * (1.0 / e.read + e.step_ms / f64::from(e.chunk)) * 1e3;
        let (r, q) = x.load();
        let over = (f64::from(r + q) + 1.0 - e.slots as f64).max(0.0);
        let t = each * (x.ahead(a.urgency) + unread) + over * 1.5e6 / e.slots as f64 + 8_000.0;
        let y = t / a.latency_target as f64;
        let pause = |n: f64| (each * n / a.max_stream_gap as f64 - 0.5).clamp(0.0, 1.0);
        let pct = |n: u32| f64::from(n) / 100.0;
        0.15 * y
            + 2.0 * (y - 0.5).max(0.0).powi(2)
            + 0.02 * unread * each / 1e5 * (1.0 + f64::from(r) / 8.0)
            + 0.1 * f64::from(r) * (pause(x.ahead(9) + unread) - pause(x.ahead(9)))
            + 0.05 * f64::from(r + q) / e.slots as f64
            + pct(self.c.set.prefix_affinity) * 0.006 * again / 1e3
            + if far { pct(self.c.set.zone_locality) * 0.009 * f64::from(a.bytes) / 1e3 } else { 0.0 }
    }
}
