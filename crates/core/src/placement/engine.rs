//! One engine as a router learns it from its answers.

use super::pool_model::PoolModel;
use super::prefix_cache::PrefixCache;
use super::prompt::{PromptRequest, PromptSegment};
use crate::base::{Incarnation, MS, Micros, SEC};
use smallvec::SmallVec;

/// Half of what a worker said of others counts no more after this long.
const STALE: f64 = 1_000_000.0;
/// A worker that is expected to be too slow is tried this long after it was last used from here.
const TRIAL: Micros = SEC;
/// After it turned a call away.
const SHUT: Micros = 250 * MS;

/// One own call at a worker.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    pub n: u64,
    pub at: Micros,
    /// Tokens to read, and all that were before it and its own.
    pub unread: u32,
    pub ahead: f64,
    /// What it takes of the memory.
    pub held: u64,
    pub urgency: u8,
    pub want: f64,
    pub first: Option<Micros>,
    pub keys: SmallVec<[u64; 4]>,
}

/// What this node sent to one worker and heard of it. About 4 KB of kept parts at most,
/// and some 100 bytes for each own call there.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub incarnation: Incarnation,
    pub runs: Vec<ActiveCall>,
    pub kept: PrefixCache,
    /// How much slower than its pool it is.
    pub factor: f64,
    /// When it last spoke, and what others then had running and waiting there.
    pub heard: Option<Micros>,
    pub others: (f64, f64),
    pub shut: Micros,
    /// When the reading of the first own call that waits began.
    pub mark: Micros,
    pub used: Micros,
    /// Calls begun since it last gave a first piece.
    pub silent: u32,
}

/// What a call would meet at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedLoad {
    pub unread: f64,
    /// Shared tokens that would be read again.
    pub again: f64,
    pub ahead: f64,
    pub running: f64,
    pub active: f64,
    pub held: f64,
    pub overdue: f64,
    pub silent: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        EngineModel {
            incarnation: 0,
            runs: Vec::new(),
            kept: PrefixCache::default(),
            factor: 1.0,
            heard: None,
            others: (0.0, 0.0),
            shut: 0,
            mark: 0,
            used: 0,
            silent: 0,
        }
    }
}

impl EngineModel {
    /// What others have running and waiting there by now: old news fades to the usual.
    fn others(&self, p: &PoolModel, now: Micros) -> (f64, f64) {
        let Some(at) = self.heard else { return p.others };
        let w = (-(now.saturating_sub(at) as f64) / STALE).exp2();
        (self.others.0 * w + p.others.0 * (1.0 - w), self.others.1 * w + p.others.1 * (1.0 - w))
    }

    /// Own tokens that are still to be read before a call of this urgency.
    fn backlog(&self, urgency: u8, each: f64, now: Micros) -> f64 {
        let mut it = self.runs.iter().filter(|r| r.first.is_none());
        let Some(r) = it.next() else { return 0.0 };
        let read = now.saturating_sub(self.mark.max(r.at)) as f64 / each;
        let mut sum = if r.urgency <= urgency { (f64::from(r.unread) - read).max(0.0) } else { 0.0 };
        // A good part of one that began is read at once, whatever came after it.
        sum += it.filter(|r| r.urgency <= urgency).map(|r| f64::from(r.unread)).sum::<f64>();
        sum
    }

    /// `likely` tells how likely a part is kept that this node did not send there.
    pub fn meets(
        &self,
        a: &PromptRequest,
        c: &[PromptSegment],
        likely: impl Fn(usize) -> f64,
        p: &PoolModel,
        now: Micros,
    ) -> ExpectedLoad {
        let (mut m, mut all, mut sure) = (ExpectedLoad::default(), 0.0, 1.0f64);
        for (i, l) in c.iter().enumerate() {
            let n = f64::from(l.tokens);
            all += n;
            sure = sure.min(if self.kept.contains(l.key) { 0.97 } else { likely(i) });
            m.unread += n * (1.0 - sure);
            if i + 1 < c.len() {
                m.again += n * (1.0 - sure);
            }
        }
        let (run, wait) = self.others(p, now);
        let each = p.fit.line().1 * self.factor;
        m.ahead = self.backlog(a.urgency, each, now) + wait * p.unread;
        m.running = run + self.runs.iter().filter(|r| r.first.is_some()).count() as f64;
        m.active = run + wait + self.runs.len() as f64;
        m.held = (run + wait) * p.held + self.runs.iter().map(|r| r.held as f64).sum::<f64>() + all;
        m.overdue = self
            .runs
            .iter()
            .find(|r| r.first.is_none())
            .map_or(0.0, |r| (now.saturating_sub(r.at) as f64 - 2.0 * r.want).max(0.0));
        m.silent = self.silent;
        m
    }

    /// A call is sent to it.
    pub fn begin(&mut self, r: ActiveCall) {
        if !self.runs.iter().any(|r| r.first.is_none()) {
            self.mark = r.at;
        }
        self.used = r.at;
        self.silent += 1;
        self.runs.push(r);
    }

    /// Its first piece came.
    pub fn first(&mut self, n: u64, now: Micros) -> Option<ActiveCall> {
        self.silent = 0;
        let r = self.runs.iter_mut().find(|r| r.n == n && r.first.is_none())?;
        r.first = Some(now);
        self.mark = now;
        Some(r.clone())
    }

    /// A call ended.
    pub fn end(&mut self, n: u64, now: Micros) -> Option<ActiveCall> {
        let i = self.runs.iter().position(|r| r.n == n)?;
        self.used = now;
        let r = self.runs.remove(i);
        if r.first.is_none() {
            self.mark = now;
        }
        Some(r)
    }

    /// The engine told how many calls run and wait there.
    pub fn hears(&mut self, running: u32, waiting: u32, p: &mut PoolModel, now: Micros) {
        let mine = self.runs.iter().filter(|r| r.first.is_some()).count() as f64;
        let rest = self.runs.len() as f64 - mine;
        self.others = ((f64::from(running) - mine).max(0.0), (f64::from(waiting) - rest).max(0.0));
        self.heard = Some(now);
        p.others.0 += 0.05 * (self.others.0 - p.others.0);
        p.others.1 += 0.05 * (self.others.1 - p.others.1);
    }

    /// Whether what was learned of it is so old that a call may go there against all expectation:
    /// only answers change what is expected, so without such trials one that was learned to be
    /// too slow for every call would never be asked again.
    pub fn may_be_tried(&self, now: Micros) -> bool {
        self.runs.is_empty() && now >= self.used + TRIAL
    }

    /// It took no call.
    pub fn declined(&mut self, now: Micros) {
        self.shut = now + SHUT;
    }

    /// What was learned of another life of it is void.
    pub fn life(&mut self, incarnation: Incarnation) {
        if self.incarnation < incarnation {
            let runs = std::mem::take(&mut self.runs);
            *self = EngineModel { incarnation, runs, ..EngineModel::default() };
        }
    }
}
