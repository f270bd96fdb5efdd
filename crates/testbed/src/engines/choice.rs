//! The strategies by which a front chooses a worker for an attempt.

use super::case::{Case, Strategy};
use super::front::{Front, POOL, worker_index, zone_name};
use super::worker::{Worker, shared_segments};
use sumacvale_core::base::{Micros, hash64, rendezvous_weight};
use sumacvale_core::placement::{Endpoint, PlacementContext, PlacementTable, PromptRequest, PromptSegment};

/// The highest number of urgency: behind it are all prompts in a queue.
const LAST_URGENCY: u8 = 9;
/// What a call waits for each slot that is missing, in microseconds, at a worker with one slot.
const SLOT_WAIT: f64 = 1.5e6;
/// The time to first token besides prefill and queueing, in microseconds.
const FIXED_LATENCY: f64 = 8_000.0;

/// What a front knows when it chooses; the oracle also uses the workers themselves.
pub struct Choice<'a> {
    /// The strategy and its weights.
    pub case: &'a Case,
    /// The membership.
    pub table: &'a PlacementTable,
    /// The front that chooses.
    pub front: &'a Front,
    /// The true state, for the oracle alone.
    pub workers: &'a [Worker],
    /// The call.
    pub request: &'a PromptRequest,
    /// Workers that an attempt of the call went to before.
    pub excluded: &'a [String],
    /// In microseconds.
    pub now: Micros,
}

impl Choice<'_> {
    /// The index in the table of the endpoint that the case's strategy chooses.
    pub fn choose(&self) -> Option<usize> {
        match self.case.strategy {
            Strategy::Place => self.by_placement(),
            Strategy::Ring => self.by_ring(),
            Strategy::Least => self.by_least_load(),
            Strategy::Hash => self.by_hash(),
            Strategy::Oracle => self.by_exact_cost(),
        }
    }

    fn by_placement(&self) -> Option<usize> {
        let context = PlacementContext {
            pool: POOL,
            zone: &zone_name(self.front.zone),
            weights: &self.case.weights,
            excluded: self.excluded,
            now: self.now,
        };
        self.front.models.choose(self.table, self.request, &context, &self.front.loads)
    }

    fn by_ring(&self) -> Option<usize> {
        let load = |endpoint| if self.is_usable(endpoint) { self.known_load(endpoint) } else { u32::MAX };
        let loads: Vec<_> = self.table.endpoints.iter().map(load).collect();
        self.table.nominate(self.prefix_key(), &zone_name(self.front.zone), &loads, self.excluded)
    }

    fn by_least_load(&self) -> Option<usize> {
        let zone = zone_name(self.front.zone);
        let order = |endpoint: &Endpoint| {
            let tie_break = rendezvous_weight(self.now, endpoint.worker_id.as_bytes());
            (endpoint.zone != zone, self.known_load(endpoint), tie_break)
        };
        self.usable().min_by_key(|(_, endpoint)| order(endpoint)).map(|(index, _)| index)
    }

    fn by_hash(&self) -> Option<usize> {
        let (zone, key) = (zone_name(self.front.zone), self.prefix_key());
        let order = |endpoint: &Endpoint| {
            let worker = worker_index(&endpoint.worker_id) as u64;
            (endpoint.zone == zone, hash64(&[key.to_le_bytes(), worker.to_le_bytes()].concat()))
        };
        self.usable().max_by_key(|(_, endpoint)| order(endpoint)).map(|(index, _)| index)
    }

    fn by_exact_cost(&self) -> Option<usize> {
        self.usable()
            .map(|(index, endpoint)| (index, &self.workers[worker_index(&endpoint.worker_id)]))
            .filter(|(_, worker)| !worker.is_lost())
            .map(|(index, worker)| (index, self.exact_cost(worker)))
            .min_by(|(_, cost), (_, other)| cost.total_cmp(other))
            .map(|(index, _)| index)
    }

    /// The endpoints that may be chosen, with their indices.
    fn usable(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.table.endpoints.iter().enumerate().filter(|(_, endpoint)| self.is_usable(endpoint))
    }

    fn is_usable(&self, endpoint: &Endpoint) -> bool {
        !self.excluded.contains(&endpoint.worker_id) && !self.front.loads.has_failed(endpoint)
    }

    fn known_load(&self, endpoint: &Endpoint) -> u32 {
        self.front.calls[worker_index(&endpoint.worker_id)].total()
    }

    /// The key of the prompt without the call's own part.
    fn prefix_key(&self) -> u64 {
        shared_segments(&self.request.chain()).last().map_or(0, |segment| segment.key)
    }

    /// The cost by the formula of `sumacvale-core`, computed from the worker's true state.
    fn exact_cost(&self, worker: &Worker) -> f64 {
        let (request, engine) = (self.request, &self.case.deployment.engine);
        let chain = request.chain();
        let uncomputed = request.tokens() as f64 - f64::from(worker.computed_tokens(&chain));
        let token_us = worker.slowdown()
            * (1.0 / engine.prefill_tokens_per_ms + engine.step_ms / f64::from(engine.prefill_chunk))
            * 1e3;
        let load = worker.load();
        let slots = engine.slots as f64;
        let missing_slots = (f64::from(load.total()) + 1.0 - slots).max(0.0);
        let latency = token_us * (worker.prefill_ahead(request.urgency) + uncomputed)
            + missing_slots * SLOT_WAIT / slots
            + FIXED_LATENCY;
        let lateness = latency / request.latency_target as f64;
        let gap_risk = |tokens: f64| (token_us * tokens / request.max_stream_gap as f64 - 0.5).clamp(0.0, 1.0);
        let ahead = worker.prefill_ahead(LAST_URGENCY);
        let added_gap_risk = gap_risk(ahead + uncomputed) - gap_risk(ahead);
        0.15 * lateness
            + 2.0 * (lateness - 0.5).max(0.0).powi(2)
            + 0.02 * uncomputed * token_us / 1e5 * (1.0 + f64::from(load.running) / 8.0)
            + 0.1 * f64::from(load.running) * added_gap_risk
            + 0.05 * f64::from(load.total()) / slots
            + share(self.case.weights.prefix_affinity) * 0.006 * recomputed_tokens(worker, &chain) / 1e3
            + self.zone_cost(worker)
    }

    fn zone_cost(&self, worker: &Worker) -> f64 {
        if worker.zone() == self.front.zone {
            return 0.0;
        }
        share(self.case.weights.zone_locality) * 0.009 * f64::from(self.request.bytes) / 1e3
    }
}

/// Tokens of shared segments that the worker would have to compute.
fn recomputed_tokens(worker: &Worker, chain: &[PromptSegment]) -> f64 {
    let shared = shared_segments(chain);
    let tokens: f64 = shared.iter().map(|segment| f64::from(segment.tokens)).sum();
    (tokens - f64::from(worker.computed_tokens(shared))).max(0.0)
}

fn share(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}
