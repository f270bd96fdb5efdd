//! The model of one engine, as a node learns it from the engine's responses.

use super::pool_model::{OtherCalls, PoolModel};
use super::prefix_cache::PrefixCache;
use super::prompt::{PromptRequest, PromptSegment};
use crate::base::{Incarnation, MS, Micros, SEC};
use smallvec::SmallVec;

/// After this time the load that a worker reported counts half, in microseconds.
const LOAD_HALF_LIFE: f64 = 1_000_000.0;
/// A worker that is expected to be too slow gets a trial call this long after its last use, in microseconds.
const TRIAL_INTERVAL: Micros = SEC;
/// No call goes to a worker for this long after it declined one, in microseconds.
const DECLINE_BACKOFF: Micros = 250 * MS;
/// How likely a prefix that this node sent to an engine is still cached there.
const SENT_PREFIX_LIKELIHOOD: f64 = 0.97;
/// How much a reported load counts for the usual load of the pool.
const OTHERS_LEARNING_RATE: f64 = 0.05;

/// One call of this node at a worker.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// The number by which the call's first token and end are recorded.
    pub ticket: u64,
    /// When it was sent.
    pub started_at: Micros,
    /// Tokens of its own to prefill.
    pub unread: u32,
    /// Tokens to prefill before its first token, its own included.
    pub tokens_until_first: f64,
    /// The tokens of KV cache that it may occupy.
    pub held: u64,
    /// Its rank, 0 first.
    pub urgency: u8,
    /// The expected time to first token, in microseconds.
    pub expected_first_token: f64,
    /// When its first token came.
    pub first_token_at: Option<Micros>,
    /// The keys of its prompt's prefixes.
    pub keys: SmallVec<[u64; 4]>,
}

impl ActiveCall {
    fn awaits_first_token(&self) -> bool {
        self.first_token_at.is_none()
    }
}

/// What this node sent to one worker and learned from it: at most about 4 KB of cached prefixes and
/// some 100 bytes for each call of its own there.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// The incarnation of the worker that this was learned from.
    incarnation: Incarnation,
    /// The calls of this node there, the oldest first.
    calls: Vec<ActiveCall>,
    /// The prefixes that it likely has cached.
    pub prefix_cache: PrefixCache,
    /// How many times as slow as its pool it is, from 0.6 to 8.
    pub slowness: f64,
    /// When it last reported its load.
    load_reported_at: Option<Micros>,
    /// What other nodes then had there.
    others: OtherCalls,
    /// No call goes there before this time, since it declined one.
    closed_until: Micros,
    /// When the prefill of the first own call without a first token began.
    prefill_started_at: Micros,
    /// When a call of this node last began or ended there.
    last_used_at: Micros,
    /// Calls begun since its last first token.
    unanswered_calls: u32,
}

/// What a call would meet at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedLoad {
    /// Tokens of the call to prefill.
    pub unread: f64,
    /// Of these, shared ones that other engines have cached.
    pub reread: f64,
    /// Tokens of other calls to prefill before it.
    pub tokens_ahead: f64,
    /// Calls past their prefill.
    pub running: f64,
    /// All calls there.
    pub active: f64,
    /// Tokens in the KV cache, the call's prompt included.
    pub held: f64,
    /// By how much the oldest call without a first token exceeds twice its expected time, in microseconds.
    pub overdue: f64,
    /// Calls begun since the worker's last first token.
    pub unanswered_calls: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        EngineModel {
            incarnation: 0,
            calls: Vec::new(),
            prefix_cache: PrefixCache::default(),
            slowness: 1.0,
            load_reported_at: None,
            others: OtherCalls::default(),
            closed_until: 0,
            prefill_started_at: 0,
            last_used_at: 0,
            unanswered_calls: 0,
        }
    }
}

impl EngineModel {
    /// The calls of other nodes there by now: an old report fades to what is usual in the pool.
    fn expected_others(&self, pool: &PoolModel, now: Micros) -> OtherCalls {
        let Some(reported_at) = self.load_reported_at else { return pool.others };
        let weight = (-(now.saturating_sub(reported_at) as f64) / LOAD_HALF_LIFE).exp2();
        OtherCalls {
            running: self.others.running * weight + pool.others.running * (1.0 - weight),
            waiting: self.others.waiting * weight + pool.others.waiting * (1.0 - weight),
        }
    }

    /// Tokens of this node's calls that are still to be prefilled before a call of this urgency.
    fn backlog(&self, urgency: u8, per_token: f64, now: Micros) -> f64 {
        let mut waiting = self.calls.iter().filter(|call| call.awaits_first_token());
        let Some(first) = waiting.next() else { return 0.0 };
        let started_at = self.prefill_started_at.max(first.started_at);
        let already_read = now.saturating_sub(started_at) as f64 / per_token;
        let mut tokens = if first.urgency <= urgency { (f64::from(first.unread) - already_read).max(0.0) } else { 0.0 };
        // A large part of a prefill that began is done at once, whatever came after it.
        tokens += waiting.filter(|call| call.urgency <= urgency).map(|call| f64::from(call.unread)).sum::<f64>();
        tokens
    }

    /// What a call would meet there. `likelihood` gives how likely the prefix with this index is
    /// cached although this node did not send it there.
    pub fn expected_load(
        &self,
        request: &PromptRequest,
        chain: &[PromptSegment],
        likelihood: impl Fn(usize) -> f64,
        pool: &PoolModel,
        now: Micros,
    ) -> ExpectedLoad {
        let prefill = self.expected_prefill(chain, likelihood);
        let others = self.expected_others(pool, now);
        let per_token = pool.fit.line().1 * self.slowness;
        let own_running = self.calls.iter().filter(|call| !call.awaits_first_token()).count() as f64;
        let own_held = self.calls.iter().map(|call| call.held as f64).sum::<f64>();
        ExpectedLoad {
            unread: prefill.unread,
            reread: prefill.reread,
            tokens_ahead: self.backlog(request.urgency, per_token, now) + others.waiting * pool.unread,
            running: others.running + own_running,
            active: others.running + others.waiting + self.calls.len() as f64,
            held: (others.running + others.waiting) * pool.held + own_held + prefill.prompt,
            overdue: self.overdue(now),
            unanswered_calls: self.unanswered_calls,
        }
    }

    fn expected_prefill(&self, chain: &[PromptSegment], likelihood: impl Fn(usize) -> f64) -> ExpectedPrefill {
        let mut prefill = ExpectedPrefill::default();
        // A prefix is cached only if all shorter ones are.
        let mut cached = 1.0f64;
        for (index, segment) in chain.iter().enumerate() {
            let tokens = f64::from(segment.tokens);
            prefill.prompt += tokens;
            let is_known = self.prefix_cache.contains(segment.key);
            cached = cached.min(if is_known { SENT_PREFIX_LIKELIHOOD } else { likelihood(index) });
            prefill.unread += tokens * (1.0 - cached);
            if index + 1 < chain.len() {
                prefill.reread += tokens * (1.0 - cached);
            }
        }
        prefill
    }

    fn overdue(&self, now: Micros) -> f64 {
        let oldest = self.calls.iter().find(|call| call.awaits_first_token());
        oldest
            .map_or(0.0, |call| (now.saturating_sub(call.started_at) as f64 - 2.0 * call.expected_first_token).max(0.0))
    }

    /// A call is sent to it.
    pub fn begin(&mut self, call: ActiveCall) {
        if !self.calls.iter().any(ActiveCall::awaits_first_token) {
            self.prefill_started_at = call.started_at;
        }
        self.last_used_at = call.started_at;
        self.unanswered_calls += 1;
        self.calls.push(call);
    }

    /// The first token of a call came; none if the call is unknown or had its first token already.
    pub fn record_first_token(&mut self, ticket: u64, now: Micros) -> Option<ActiveCall> {
        self.unanswered_calls = 0;
        let call = self.calls.iter_mut().find(|call| call.ticket == ticket && call.awaits_first_token())?;
        call.first_token_at = Some(now);
        self.prefill_started_at = now;
        Some(call.clone())
    }

    /// A call ended; none if it is unknown.
    pub fn end(&mut self, ticket: u64, now: Micros) -> Option<ActiveCall> {
        let index = self.calls.iter().position(|call| call.ticket == ticket)?;
        self.last_used_at = now;
        let call = self.calls.remove(index);
        if call.awaits_first_token() {
            self.prefill_started_at = now;
        }
        Some(call)
    }

    /// The engine reported how many calls run and wait there; those of this node are subtracted.
    pub fn record_load(&mut self, running: u32, waiting: u32, pool: &mut PoolModel, now: Micros) {
        let own_running = self.calls.iter().filter(|call| !call.awaits_first_token()).count() as f64;
        let own_waiting = self.calls.len() as f64 - own_running;
        self.others = OtherCalls {
            running: (f64::from(running) - own_running).max(0.0),
            waiting: (f64::from(waiting) - own_waiting).max(0.0),
        };
        self.load_reported_at = Some(now);
        pool.others.running += OTHERS_LEARNING_RATE * (self.others.running - pool.others.running);
        pool.others.waiting += OTHERS_LEARNING_RATE * (self.others.waiting - pool.others.waiting);
    }

    /// Whether what was learned of it is so old that a call may go there against all expectation:
    /// only responses change what is expected, so without such trials one that was learned to be
    /// too slow for every call would never get a call again.
    pub fn may_be_tried(&self, now: Micros) -> bool {
        self.calls.is_empty() && now >= self.last_used_at + TRIAL_INTERVAL
    }

    /// Whether it declined a call a moment ago.
    pub fn is_closed(&self, now: Micros) -> bool {
        now < self.closed_until
    }

    /// It declined a call, whose prefixes it did not prefill.
    pub fn record_decline(&mut self, call: &ActiveCall, now: Micros) {
        self.closed_until = now + DECLINE_BACKOFF;
        self.prefix_cache.remove(&call.keys);
    }

    /// Whether no call of this node has used it for this long.
    pub fn is_idle_for(&self, duration: Micros, now: Micros) -> bool {
        self.calls.is_empty() && now.saturating_sub(self.last_used_at) >= duration
    }

    /// Forgets what was learned of an earlier incarnation, except for the calls that still run.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation < incarnation {
            let calls = std::mem::take(&mut self.calls);
            *self = EngineModel { incarnation, calls, ..EngineModel::default() };
        }
    }
}

/// The tokens of a prompt that an engine would have to prefill.
#[derive(Default)]
struct ExpectedPrefill {
    /// All tokens of the prompt.
    prompt: f64,
    /// Those that are not cached.
    unread: f64,
    /// Of these, all but those of the last part.
    reread: f64,
}
