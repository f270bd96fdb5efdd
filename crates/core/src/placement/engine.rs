//! The model of one engine, which a node learns from the engine's responses.

use super::pool_model::{OtherCalls, PoolModel};
use super::prefix_cache::PrefixCache;
use super::prompt::{PromptRequest, PromptSegment};
use crate::base::{Incarnation, MS, Micros, SEC};
use smallvec::SmallVec;

/// The half-life of the weight of a reported load, in microseconds.
const LOAD_HALF_LIFE_MICROS: f64 = 1_000_000.0;
/// The time since its last use after which a worker that is expected to be too slow gets a trial call, in
/// microseconds.
const TRIAL_INTERVAL: Micros = SEC;
/// The time for which a worker that declined a call gets no calls, in microseconds.
const DECLINE_BACKOFF: Micros = 250 * MS;
/// The probability that a prefix that this node sent to an engine is still cached there.
const SENT_PREFIX_LIKELIHOOD: f64 = 0.97;
/// The weight of a reported load in the pool's average load.
const LOAD_LEARNING_RATE: f64 = 0.05;

/// One call of this node in flight at a worker.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// The number that identifies the call when its first token and its end are recorded.
    pub ticket: u64,
    /// When the call was sent.
    pub started_at: Micros,
    /// The number of tokens of the call's own prompt to prefill.
    pub uncached_tokens: u32,
    /// The number of tokens to prefill before the call's first token, its own prompt included.
    pub tokens_until_first: f64,
    /// The most tokens that the call may occupy in the KV cache.
    pub kv_tokens: u64,
    /// The call's priority; 0 is served first.
    pub urgency: u8,
    /// The expected time to first token, in microseconds.
    pub expected_first_token: f64,
    /// When the call's first token was received.
    pub first_token_at: Option<Micros>,
    /// The keys of the prefixes of the call's prompt.
    pub keys: SmallVec<[u64; 4]>,
}

impl ActiveCall {
    fn awaits_first_token(&self) -> bool {
        self.first_token_at.is_none()
    }
}

/// This node's model of one worker's engine, with the node's own calls there. Takes at most about 4 KB
/// for cached prefixes and some 100 bytes for each call.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// The incarnation of the worker that the model was learned from.
    incarnation: Incarnation,
    /// The calls of this node in flight there, oldest first.
    calls: Vec<ActiveCall>,
    /// The prefixes that the engine likely has cached.
    pub prefix_cache: PrefixCache,
    /// The factor by which the engine is slower than its pool, from 0.6 to 8.
    pub slowness: f64,
    /// When the worker last reported its load.
    load_reported_at: Option<Micros>,
    /// The calls of other nodes there at the last report.
    others: OtherCalls,
    /// The end of the backoff after the worker declined a call; until then it gets no calls.
    backoff_until: Micros,
    /// When the prefill of the oldest own call without a first token began.
    prefill_started_at: Micros,
    /// When a call of this node last began or ended there.
    last_used_at: Micros,
    /// The number of calls begun since the last first token.
    unanswered_calls: u32,
}

/// The load that a call is expected to find at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedLoad {
    /// The number of the call's tokens to prefill.
    pub uncached_tokens: f64,
    /// The number of these tokens that belong to shared prefixes, which other engines have cached.
    pub recomputed_tokens: f64,
    /// The number of tokens of other calls to prefill before this call's prompt.
    pub tokens_ahead: f64,
    /// The number of calls past their prefill.
    pub running: f64,
    /// The number of all calls at the worker.
    pub active: f64,
    /// The number of tokens in the KV cache, the call's prompt included.
    pub kv_tokens: f64,
    /// The time by which the oldest call without a first token exceeds twice its expected time, in microseconds.
    pub overdue: f64,
    /// The number of calls begun since the worker's last first token.
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
            backoff_until: 0,
            prefill_started_at: 0,
            last_used_at: 0,
            unanswered_calls: 0,
        }
    }
}

impl EngineModel {
    /// Returns the expected calls of other nodes there: the reported load decays towards the pool's average.
    fn expected_others(&self, pool: &PoolModel, now: Micros) -> OtherCalls {
        let Some(reported_at) = self.load_reported_at else { return pool.others };
        let weight = (-(now.saturating_sub(reported_at) as f64) / LOAD_HALF_LIFE_MICROS).exp2();
        OtherCalls {
            running: self.others.running * weight + pool.others.running * (1.0 - weight),
            waiting: self.others.waiting * weight + pool.others.waiting * (1.0 - weight),
        }
    }

    /// Returns the number of tokens of this node's calls that must be prefilled before a call of this urgency.
    fn backlog(&self, urgency: u8, per_token: f64, now: Micros) -> f64 {
        let mut waiting = self.calls.iter().filter(|call| call.awaits_first_token());
        let Some(first) = waiting.next() else { return 0.0 };
        let started_at = self.prefill_started_at.max(first.started_at);
        let prefilled = now.saturating_sub(started_at) as f64 / per_token;
        let mut tokens =
            if first.urgency <= urgency { (f64::from(first.uncached_tokens) - prefilled).max(0.0) } else { 0.0 };
        // A prefill that has begun is processed in large parts, which later calls don't interrupt.
        tokens +=
            waiting.filter(|call| call.urgency <= urgency).map(|call| f64::from(call.uncached_tokens)).sum::<f64>();
        tokens
    }

    /// Returns the load that a call is expected to find there. `likelihood` returns the probability that the
    /// prefix with this index is cached although this node did not send it there.
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
        let per_token = pool.fit.coefficients().per_token * self.slowness;
        let own_running = self.calls.iter().filter(|call| !call.awaits_first_token()).count() as f64;
        let own_kv_tokens = self.calls.iter().map(|call| call.kv_tokens as f64).sum::<f64>();
        ExpectedLoad {
            uncached_tokens: prefill.uncached_tokens,
            recomputed_tokens: prefill.recomputed_tokens,
            tokens_ahead: self.backlog(request.urgency, per_token, now) + others.waiting * pool.uncached_tokens,
            running: others.running + own_running,
            active: others.running + others.waiting + self.calls.len() as f64,
            kv_tokens: (others.running + others.waiting) * pool.kv_tokens + own_kv_tokens + prefill.prompt,
            overdue: self.overdue(now),
            unanswered_calls: self.unanswered_calls,
        }
    }

    /// Returns the tokens of a prompt that the engine is expected to prefill.
    fn expected_prefill(&self, chain: &[PromptSegment], likelihood: impl Fn(usize) -> f64) -> ExpectedPrefill {
        let mut prefill = ExpectedPrefill::default();
        // A prefix is cached only if all shorter prefixes are.
        let mut cached = 1.0f64;
        for (index, segment) in chain.iter().enumerate() {
            let tokens = f64::from(segment.tokens);
            prefill.prompt += tokens;
            let was_sent = self.prefix_cache.contains(segment.key);
            cached = cached.min(if was_sent { SENT_PREFIX_LIKELIHOOD } else { likelihood(index) });
            prefill.uncached_tokens += tokens * (1.0 - cached);
            if index + 1 < chain.len() {
                prefill.recomputed_tokens += tokens * (1.0 - cached);
            }
        }
        prefill
    }

    /// See [`ExpectedLoad::overdue`].
    fn overdue(&self, now: Micros) -> f64 {
        let oldest = self.calls.iter().find(|call| call.awaits_first_token());
        oldest
            .map_or(0.0, |call| (now.saturating_sub(call.started_at) as f64 - 2.0 * call.expected_first_token).max(0.0))
    }

    /// Adds a call that is sent to the worker.
    pub fn begin(&mut self, call: ActiveCall) {
        if !self.calls.iter().any(ActiveCall::awaits_first_token) {
            self.prefill_started_at = call.started_at;
        }
        self.last_used_at = call.started_at;
        self.unanswered_calls += 1;
        self.calls.push(call);
    }

    /// Records the first token of a call; returns `None` if the call is unknown or already had its first token.
    pub fn record_first_token(&mut self, ticket: u64, now: Micros) -> Option<ActiveCall> {
        self.unanswered_calls = 0;
        let call = self.calls.iter_mut().find(|call| call.ticket == ticket && call.awaits_first_token())?;
        call.first_token_at = Some(now);
        self.prefill_started_at = now;
        Some(call.clone())
    }

    /// Removes a call that ended; returns `None` if the call is unknown.
    pub fn end(&mut self, ticket: u64, now: Micros) -> Option<ActiveCall> {
        let index = self.calls.iter().position(|call| call.ticket == ticket)?;
        self.last_used_at = now;
        let call = self.calls.remove(index);
        if call.awaits_first_token() {
            self.prefill_started_at = now;
        }
        Some(call)
    }

    /// Records the reported numbers of running and waiting calls, without this node's own calls.
    pub fn record_load(&mut self, running: u32, waiting: u32, pool: &mut PoolModel, now: Micros) {
        let own_running = self.calls.iter().filter(|call| !call.awaits_first_token()).count() as f64;
        let own_waiting = self.calls.len() as f64 - own_running;
        self.others = OtherCalls {
            running: (f64::from(running) - own_running).max(0.0),
            waiting: (f64::from(waiting) - own_waiting).max(0.0),
        };
        self.load_reported_at = Some(now);
        pool.others.running += LOAD_LEARNING_RATE * (self.others.running - pool.others.running);
        pool.others.waiting += LOAD_LEARNING_RATE * (self.others.waiting - pool.others.waiting);
    }

    /// Returns whether the model is so old that a trial call may go to the worker although it is expected to
    /// be too slow. Only responses change the model, so without trial calls a worker whose model is too slow
    /// for every call would never get a call again.
    pub fn is_trial_due(&self, now: Micros) -> bool {
        self.calls.is_empty() && now >= self.last_used_at + TRIAL_INTERVAL
    }

    /// Returns whether the worker declined a call within [`DECLINE_BACKOFF`].
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff_until
    }

    /// Records that the worker declined a call, and so did not prefill the call's prefixes.
    pub fn record_decline(&mut self, call: &ActiveCall, now: Micros) {
        self.backoff_until = now + DECLINE_BACKOFF;
        self.prefix_cache.remove(&call.keys);
    }

    /// Returns whether no call of this node has used the worker for this long.
    pub fn is_idle_for(&self, duration: Micros, now: Micros) -> bool {
        self.calls.is_empty() && now.saturating_sub(self.last_used_at) >= duration
    }

    /// Resets the model if a later incarnation is known, except for the calls in flight.
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
    /// The number of all tokens of the prompt.
    prompt: f64,
    /// The number of tokens that are not cached.
    uncached_tokens: f64,
    /// The number of these tokens outside the prompt's last part.
    recomputed_tokens: f64,
}
