//! The models of all engines, and the choice of a worker by them.

use super::cost::{CostModel, time_to_first_token};
use super::engine::{ActiveCall, EngineModel};
use super::lengths::{LengthClass, OTHER_PARTITION_PENALTY};
use super::pool_model::PoolModel;
use super::prompt::{PromptRequest, SegmentChain, shared_prefix_key, splitmix64};
use super::{Endpoint, PlacementTable, WorkerLoads};
use crate::base::{Micros, Rng, SEC, ShardedMap};
use crate::config::PlacementWeights;
use smallvec::SmallVec;
use std::sync::atomic::{AtomicU64, Ordering};

/// The most workers of a pool that are all candidates; in a larger pool, the candidates are the preferred
/// workers and a random sample.
const MAX_ALL_CANDIDATES: usize = 24;
/// The least slots of each worker for partitions by prompt length: with fewer slots, all workers are
/// needed to find a free slot.
const MIN_PARTITION_SLOTS: u32 = 32;
/// The number of preferred workers of a prefix, the first ones by rendezvous hashing, of all zones.
const PREFERRED_WORKERS: u32 = 3;
/// The number of preferred workers of a prefix in the caller's zone.
const PREFERRED_WORKERS_IN_ZONE: u32 = 6;
/// The number of random candidates from the caller's zone; half as many come from other zones and a
/// quarter from the other partition.
const RANDOM_CANDIDATES: u64 = 8;
/// The time since its last use after which a worker's model is dropped, in microseconds.
const MODEL_RETENTION: Micros = 60 * SEC;
/// The weight of a new call in a pool's average prefill and KV cache use.
const CALL_SIZE_LEARNING_RATE: f64 = 0.02;
/// The weight of a new call in a pool's average service time.
const SERVICE_TIME_LEARNING_RATE: f64 = 0.03;

/// The node, the pool and the time for which a worker is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The name of the pool.
    pub pool: &'a str,
    /// The zone of this node.
    pub zone: &'a str,
    /// The weights of the pool.
    pub weights: &'a PlacementWeights,
    /// The ids of workers that must not be chosen.
    pub excluded: &'a [String],
    /// The current time.
    pub now: Micros,
}

/// How a call at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response is complete.
    Done,
    /// The worker did not run the call.
    Declined,
    /// Any other end.
    Failed,
}

/// This node's models of all engines and pools, with one lock for each shard. Invariant: a pool's lock is
/// acquired before an engine's lock.
#[derive(Debug, Default)]
pub struct EngineModels {
    /// The models of engines, by worker id.
    engines: ShardedMap<EngineModel>,
    /// The models of pools, by pool name.
    pools: ShardedMap<PoolModel>,
    next_ticket: AtomicU64,
}

impl EngineModels {
    /// Creates an empty collection. Nodes with different seeds draw different random numbers.
    pub fn new(seed: u64) -> Self {
        EngineModels { next_ticket: AtomicU64::new(splitmix64(seed) >> 1), ..EngineModels::default() }
    }

    /// Returns the index of the worker with the lowest cost for this call, or `None` if no worker could serve
    /// the call in time.
    pub fn choose(
        &self,
        table: &PlacementTable,
        request: &PromptRequest,
        context: &PlacementContext,
        loads: &WorkerLoads,
    ) -> Option<usize> {
        let has_failed = |endpoint: &Endpoint| loads.has_failed(endpoint);
        // If every worker failed a call since its last report, a failed one is better than none.
        self.cheapest(table, request, context, has_failed).or_else(|| self.cheapest(table, request, context, |_| false))
    }

    fn cheapest(
        &self,
        table: &PlacementTable,
        request: &PromptRequest,
        context: &PlacementContext,
        is_avoided: impl Fn(&Endpoint) -> bool,
    ) -> Option<usize> {
        let mut rng = Rng::new(splitmix64(self.next_ticket.fetch_add(1, Ordering::Relaxed)) ^ context.now);
        let mut pools = self.pools.lock_shard(context.pool);
        let pool = pools.entry(context.pool.to_owned()).or_default();
        let choice = Choice::new(table, request, context, pool);
        let mut cheapest: Option<(f64, usize)> = None;
        for candidate in choice.candidates(&mut rng) {
            let endpoint = &table.endpoints[candidate.index];
            if context.excluded.contains(&endpoint.worker_id) || is_avoided(endpoint) {
                continue;
            }
            let mut engines = self.engines.lock_shard(&endpoint.worker_id);
            let unknown = EngineModel::default();
            let engine = match engines.get_mut(&endpoint.worker_id) {
                Some(engine) => {
                    engine.observe_incarnation(endpoint.incarnation);
                    &*engine
                }
                None => &unknown,
            };
            let Some(cost) = choice.cost(candidate, engine, &mut rng) else { continue };
            if cheapest.is_none_or(|(least, _)| cost < least) {
                cheapest = Some((cost, candidate.index));
            }
        }
        cheapest.map(|(_, index)| index)
    }

    /// Records that a call is sent to a worker. Returns the ticket that identifies the call when its first token
    /// and its end are recorded.
    pub fn record_start(
        &self,
        pool_name: &str,
        endpoint: &Endpoint,
        request: &PromptRequest,
        weights: &PlacementWeights,
        now: Micros,
    ) -> u64 {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let chain = request.chain();
        let mut pools = self.pools.lock_shard(pool_name);
        let pool = pools.entry(pool_name.to_owned()).or_default();
        let mut engines = self.engines.lock_shard(&endpoint.worker_id);
        let engine = engines.entry(endpoint.worker_id.clone()).or_default();
        engine.observe_incarnation(endpoint.incarnation);
        let demand = demand(pool, &chain, now);
        let likelihood =
            |index: usize| if index + 1 == chain.len() { 0.0 } else { demand[index] / (demand[index] + 40.0) };
        let load = engine.expected_load(request, &chain, likelihood, pool, now);
        let kv_tokens = request.tokens() + u64::from(request.max_output_tokens);
        record_request(pool, request, &chain, load.uncached_tokens, kv_tokens, now);
        let slots = f64::from(endpoint.slots.max(1));
        let expected_first_token = time_to_first_token(&load, pool, engine.slowness, slots);
        engine.prefix_cache.record(&chain, max_cached_tokens(weights), now);
        engine.begin(ActiveCall {
            ticket,
            started_at: now,
            uncached_tokens: load.uncached_tokens as u32,
            tokens_until_first: load.tokens_ahead + load.uncached_tokens,
            kv_tokens,
            urgency: request.urgency,
            expected_first_token,
            first_token_at: None,
            keys: chain.iter().map(|segment| segment.key).collect(),
        });
        ticket
    }

    /// Records the first token of a call.
    pub fn record_first_token(&self, pool_name: &str, worker_id: &str, ticket: u64, now: Micros) {
        let mut pools = self.pools.lock_shard(pool_name);
        let pool = pools.entry(pool_name.to_owned()).or_default();
        let mut engines = self.engines.lock_shard(worker_id);
        let Some(engine) = engines.get_mut(worker_id) else { return };
        let Some(call) = engine.record_first_token(ticket, now) else { return };
        let duration = now.saturating_sub(call.started_at);
        let ratio = pool.fit.add_sample(call.tokens_until_first, duration, engine.slowness);
        engine.slowness = (engine.slowness * (1.0 + 0.1 * (ratio - 1.0)) * 0.99 + 0.01).clamp(0.6, 8.0);
    }

    /// Records that a call ended with this outcome.
    pub fn record_end(&self, pool_name: &str, worker_id: &str, ticket: u64, outcome: CallOutcome, now: Micros) {
        let mut pools = self.pools.lock_shard(pool_name);
        let pool = pools.entry(pool_name.to_owned()).or_default();
        let mut engines = self.engines.lock_shard(worker_id);
        let Some(engine) = engines.get_mut(worker_id) else { return };
        let Some(call) = engine.end(ticket, now) else { return };
        match outcome {
            CallOutcome::Done => {
                pool.service_time +=
                    SERVICE_TIME_LEARNING_RATE * (now.saturating_sub(call.started_at) as f64 - pool.service_time);
            }
            CallOutcome::Declined => engine.record_decline(&call, now),
            CallOutcome::Failed => {}
        }
    }

    /// Records the load that a worker reported in the headers of a response.
    pub fn record_load(&self, pool_name: &str, worker_id: &str, running: u32, waiting: u32, now: Micros) {
        let mut pools = self.pools.lock_shard(pool_name);
        let pool = pools.entry(pool_name.to_owned()).or_default();
        if let Some(engine) = self.engines.lock_shard(worker_id).get_mut(worker_id) {
            engine.record_load(running, waiting, pool, now);
        }
    }

    /// Drops the models of workers that this node has not used for a minute.
    pub fn expire(&self, now: Micros) {
        for mut engines in self.engines.lock_each() {
            engines.retain(|_, engine| !engine.is_idle_for(MODEL_RETENTION, now));
        }
    }

    /// Returns the number of known workers and the number of their cached prefixes.
    pub fn size(&self) -> (usize, usize) {
        self.engines.lock_each().fold((0, 0), |(workers, prefixes), engines| {
            let in_shard = engines.values().map(|engine| engine.prefix_cache.len()).sum::<usize>();
            (workers + engines.len(), prefixes + in_shard)
        })
    }
}

/// Updates the model of a pool with a request.
fn record_request(
    pool: &mut PoolModel,
    request: &PromptRequest,
    chain: &SegmentChain,
    uncached_tokens: f64,
    kv_tokens: u64,
    now: Micros,
) {
    for segment in chain {
        pool.demand.record(segment.key, now);
    }
    pool.lengths.record(request.route, request.tokens() as f64, uncached_tokens, now);
    pool.uncached_tokens += CALL_SIZE_LEARNING_RATE * (uncached_tokens - pool.uncached_tokens);
    pool.kv_tokens += CALL_SIZE_LEARNING_RATE * (kv_tokens as f64 - pool.kv_tokens);
}

/// Returns the number of tokens of prefixes that a worker likely has cached: 70 % of its KV cache.
fn max_cached_tokens(weights: &PlacementWeights) -> u64 {
    match weights.kv_cache_tokens {
        0 => u64::MAX,
        tokens => tokens / 10 * 7,
    }
}

/// Returns the decayed number of requests for each prefix of a prompt.
fn demand(pool: &PoolModel, chain: &SegmentChain, now: Micros) -> SmallVec<[f64; 8]> {
    chain.iter().map(|segment| f64::from(pool.demand.requests(segment.key, now))).collect()
}

/// A worker whose cost is compared with that of others.
#[derive(Clone, Copy)]
struct Candidate {
    /// The worker's index in the table.
    index: usize,
    /// The worker's rank by rendezvous hashing of the prompt's prefix; 0 is the most preferred.
    rank: u32,
}

/// The score by which workers are ranked for a prefix, compared field by field; the greatest is the most
/// preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RendezvousScore {
    in_partition: bool,
    /// Rendezvous hashing (Thaler and Ravishankar, 1998): a hash of the worker and the prefix.
    hash: u64,
    index: usize,
}

/// The state of one choice of a worker.
struct Choice<'a> {
    table: &'a PlacementTable,
    request: &'a PromptRequest,
    context: &'a PlacementContext<'a>,
    pool: &'a PoolModel,
    chain: SegmentChain,
    /// The decayed number of requests for each prefix of the prompt.
    demand: SmallVec<[f64; 8]>,
    /// The partition of the workers that is preferred for the call, or `None` if there are no partitions.
    partition: Option<LengthClass>,
}

impl<'a> Choice<'a> {
    fn new(
        table: &'a PlacementTable,
        request: &'a PromptRequest,
        context: &'a PlacementContext<'a>,
        pool: &'a PoolModel,
    ) -> Self {
        let chain = request.chain();
        let demand = demand(pool, &chain, context.now);
        let has_many_slots = table.endpoints.iter().all(|endpoint| endpoint.slots >= MIN_PARTITION_SLOTS);
        let is_partitioned = table.endpoints.len() > MAX_ALL_CANDIDATES && has_many_slots;
        let partition = if is_partitioned { pool.lengths.class_of(request.route) } else { None };
        Choice { table, request, context, pool, chain, demand, partition }
    }

    /// Returns the cost of the call at a candidate, or `None` if the candidate is backing off or could not serve
    /// the call in time.
    fn cost(&self, candidate: Candidate, engine: &EngineModel, rng: &mut Rng) -> Option<f64> {
        let now = self.context.now;
        if engine.is_backing_off(now) {
            return None;
        }
        let endpoint = &self.table.endpoints[candidate.index];
        let slots = f64::from(endpoint.slots.max(1));
        let likelihood = |index: usize| self.cache_likelihood(index, candidate.rank);
        let load = engine.expected_load(self.request, &self.chain, likelihood, self.pool, now);
        let first_token_time = time_to_first_token(&load, self.pool, engine.slowness, slots);
        if first_token_time > self.request.time_left as f64 && !engine.is_trial_due(now) {
            return None;
        }
        let model = CostModel {
            request: self.request,
            load: &load,
            pool: self.pool,
            weights: self.context.weights,
            slowness: engine.slowness,
            slots,
            first_token_time,
            crosses_zones: endpoint.zone != self.context.zone,
            random: rng.next_below(1000) as f64 / 1000.0,
        };
        Some(model.total() + self.partition_penalty(candidate.index))
    }

    /// Returns the cost of a worker outside the call's partition.
    fn partition_penalty(&self, index: usize) -> f64 {
        if self.is_in_partition(index) {
            return 0.0;
        }
        OTHER_PARTITION_PENALTY * f64::from(self.context.weights.load_spread) / 100.0
    }

    /// Returns the probability that a worker of this rank has the prefix with this index cached because other
    /// nodes sent it there: the more often a prefix is requested, the more workers have it cached.
    fn cache_likelihood(&self, index: usize, rank: u32) -> f64 {
        let parts = self.chain.len();
        // The last part belongs to this call alone.
        if index + 1 == parts && parts > 1 {
            return 0.0;
        }
        let demand = self.demand[index];
        let workers = self.table.endpoints.len() as f64;
        let is_shared = index <= parts.saturating_sub(2);
        let anywhere = demand / (demand + 4.0 * workers);
        let at_rank = if is_shared && rank < 8 { demand / (demand + f64::from(1u32 << (2 * rank))) } else { 0.0 };
        let at_first = if rank == 0 && is_shared && parts > 1 { (demand + 1.0) / (demand + 1.3) } else { 0.0 };
        anywhere.max(at_rank).max(at_first)
    }

    fn is_in_partition(&self, index: usize) -> bool {
        self.partition.is_none_or(|partition| partition.contains(self.table.zone_positions[index]))
    }

    fn is_in_zone(&self, index: usize) -> bool {
        self.table.endpoints[index].zone == self.context.zone
    }

    /// Returns the workers to compare. The ranking covers all zones, so that all nodes prefer the same workers:
    /// bytes between zones cost less than prefilling again.
    fn candidates(&self, rng: &mut Rng) -> SmallVec<[Candidate; 32]> {
        let key = shared_prefix_key(&self.chain);
        let workers = self.table.endpoints.len();
        let mut zone_rank: u32 = 0;
        let mut chosen = SmallVec::new();
        let mut others: SmallVec<[Candidate; 128]> = SmallVec::new();
        for (rank, score) in (0..).zip(self.ranked(key)) {
            let candidate = Candidate { index: score.index, rank };
            let in_zone = self.is_in_zone(score.index);
            let is_preferred =
                key.is_some() && (rank < PREFERRED_WORKERS || in_zone && zone_rank < PREFERRED_WORKERS_IN_ZONE);
            if workers <= MAX_ALL_CANDIDATES || is_preferred {
                chosen.push(candidate);
            } else {
                others.push(candidate);
            }
            zone_rank += u32::from(in_zone);
        }
        if !others.is_empty() {
            self.sample(others, &mut chosen, rng);
        }
        chosen
    }

    /// Returns all workers, the most preferred one for the prefix first; without a prefix in the table's order.
    fn ranked(&self, key: Option<u64>) -> SmallVec<[RendezvousScore; 128]> {
        let score = |index: usize| RendezvousScore {
            in_partition: self.is_in_partition(index),
            hash: key.map_or(0, |key| splitmix64(key ^ self.table.id_hashes[index])),
            index,
        };
        let mut ranked: SmallVec<[RendezvousScore; 128]> = (0..self.table.endpoints.len()).map(score).collect();
        if key.is_some() {
            ranked.sort_unstable_by(|left, right| right.cmp(left));
        }
        ranked
    }

    /// Adds a random sample of `others` to the chosen candidates, without replacement.
    fn sample(&self, others: SmallVec<[Candidate; 128]>, chosen: &mut SmallVec<[Candidate; 32]>, rng: &mut Rng) {
        let (own_partition, other_partition): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|other| self.is_in_partition(other.index));
        let (near, far): (Vec<_>, Vec<_>) = own_partition.into_iter().partition(|other| self.is_in_zone(other.index));
        for (mut group, count) in
            [(near, RANDOM_CANDIDATES), (far, RANDOM_CANDIDATES / 2), (other_partition, RANDOM_CANDIDATES / 4)]
        {
            for _ in 0..count.min(group.len() as u64) {
                let index = usize::try_from(rng.next_below(group.len() as u64)).unwrap_or(0);
                chosen.push(group.swap_remove(index));
            }
        }
    }
}
