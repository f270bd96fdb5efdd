//! The choice of a worker for an attempt, by each placement strategy.

use super::case::{Case, Strategy};
use super::front::{Front, POOL, worker_index, zone_name};
use super::worker::{Worker, shared_segments};
use sumacvale_core::base::{Micros, hash64, rendezvous_weight};
use sumacvale_core::placement::{Endpoint, PlacementContext, PlacementTable, PromptRequest, PromptSegment};

/// The least urgent rank; every queued prompt is ahead of a call of this rank.
const LEAST_URGENT: u8 = 9;
/// The wait for each missing slot at a worker with one slot, in microseconds.
const SLOT_WAIT_US: f64 = 1.5e6;
/// The part of the time to first token that is neither prefill nor queueing, in microseconds.
const FIXED_LATENCY_US: f64 = 8_000.0;

/// The inputs of one choice: what the front knows and, for the oracle alone, the workers.
pub struct Choice<'a> {
    /// The case with the strategy and the weights.
    pub case: &'a Case,
    /// The workers that the front may choose from.
    pub table: &'a PlacementTable,
    /// The front that chooses.
    pub front: &'a Front,
    /// The exact state of all workers; only the oracle reads it.
    pub workers: &'a [Worker],
    /// The call to place.
    pub request: &'a PromptRequest,
    /// Ids of the workers that earlier attempts of the call were sent to.
    pub excluded: &'a [String],
    /// The current virtual time, in microseconds.
    pub now: Micros,
}

impl Choice<'_> {
    /// Returns the index in `table` of the endpoint that the case's strategy chooses.
    pub fn choose(&self) -> Option<usize> {
        match self.case.strategy {
            Strategy::Placement => self.by_placement(),
            Strategy::BoundedLoadRing => self.by_bounded_load_ring(),
            Strategy::LeastLoad => self.by_least_load(),
            Strategy::RendezvousHash => self.by_rendezvous_hash(),
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

    fn by_bounded_load_ring(&self) -> Option<usize> {
        let load = |endpoint| if self.is_eligible(endpoint) { self.known_load(endpoint) } else { u32::MAX };
        let loads: Vec<_> = self.table.endpoints.iter().map(load).collect();
        self.table.choose_by_ring(self.prefix_key(), &zone_name(self.front.zone), &loads, self.excluded)
    }

    fn by_least_load(&self) -> Option<usize> {
        let zone = zone_name(self.front.zone);
        let order = |endpoint: &Endpoint| {
            let tie_break = rendezvous_weight(self.now, endpoint.worker_id.as_bytes());
            (endpoint.zone != zone, self.known_load(endpoint), tie_break)
        };
        self.eligible().min_by_key(|(_, endpoint)| order(endpoint)).map(|(index, _)| index)
    }

    fn by_rendezvous_hash(&self) -> Option<usize> {
        let (zone, key) = (zone_name(self.front.zone), self.prefix_key());
        let order = |endpoint: &Endpoint| {
            let worker = worker_index(&endpoint.worker_id) as u64;
            (endpoint.zone == zone, hash64(&[key.to_le_bytes(), worker.to_le_bytes()].concat()))
        };
        self.eligible().max_by_key(|(_, endpoint)| order(endpoint)).map(|(index, _)| index)
    }

    fn by_exact_cost(&self) -> Option<usize> {
        self.eligible()
            .map(|(index, endpoint)| (index, &self.workers[worker_index(&endpoint.worker_id)]))
            .filter(|(_, worker)| !worker.is_crashed())
            .map(|(index, worker)| (index, self.exact_cost(worker)))
            .min_by(|(_, cost), (_, other)| cost.total_cmp(other))
            .map(|(index, _)| index)
    }

    /// Returns the endpoints that may be chosen, with their indices in `table`.
    fn eligible(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.table.endpoints.iter().enumerate().filter(|(_, endpoint)| self.is_eligible(endpoint))
    }

    fn is_eligible(&self, endpoint: &Endpoint) -> bool {
        !self.excluded.contains(&endpoint.worker_id) && !self.front.loads.has_failed(endpoint)
    }

    fn known_load(&self, endpoint: &Endpoint) -> u32 {
        self.front.calls[worker_index(&endpoint.worker_id)].total()
    }

    /// Returns the key of the prompt's shared prefix, without the segment that is unique to the call.
    fn prefix_key(&self) -> u64 {
        shared_segments(&self.request.chain()).last().map_or(0, |segment| segment.key)
    }

    /// Returns the cost by the formula of `sumacvale-core`, computed from the worker's exact state.
    fn exact_cost(&self, worker: &Worker) -> f64 {
        let (request, engine) = (self.request, &self.case.deployment.engine);
        let chain = request.chain();
        let uncomputed_tokens = request.tokens() as f64 - f64::from(worker.computed_tokens(&chain));
        let token_us = worker.slowdown()
            * (1.0 / engine.prefill_tokens_per_ms + engine.step_ms / f64::from(engine.prefill_chunk))
            * 1e3;
        let load = worker.load();
        let slots = engine.slots as f64;
        let missing_slots = (f64::from(load.total()) + 1.0 - slots).max(0.0);
        let latency = token_us * (worker.prefill_ahead(request.urgency) + uncomputed_tokens)
            + missing_slots * SLOT_WAIT_US / slots
            + FIXED_LATENCY_US;
        let lateness = latency / request.latency_target as f64;
        let gap_risk = |tokens: f64| (token_us * tokens / request.max_stream_pause as f64 - 0.5).clamp(0.0, 1.0);
        let tokens_ahead = worker.prefill_ahead(LEAST_URGENT);
        let added_gap_risk = gap_risk(tokens_ahead + uncomputed_tokens) - gap_risk(tokens_ahead);
        0.15 * lateness
            + 2.0 * (lateness - 0.5).max(0.0).powi(2)
            + 0.02 * uncomputed_tokens * token_us / 1e5 * (1.0 + f64::from(load.running) / 8.0)
            + 0.1 * f64::from(load.running) * added_gap_risk
            + 0.05 * f64::from(load.total()) / slots
            + to_fraction(self.case.weights.prefix_affinity) * 0.006 * recomputed_tokens(worker, &chain) / 1e3
            + self.zone_cost(worker)
    }

    fn zone_cost(&self, worker: &Worker) -> f64 {
        if worker.zone() == self.front.zone {
            return 0.0;
        }
        to_fraction(self.case.weights.zone_locality) * 0.009 * f64::from(self.request.bytes) / 1e3
    }
}

/// Returns the number of tokens of shared segments that the worker would have to compute.
fn recomputed_tokens(worker: &Worker, chain: &[PromptSegment]) -> f64 {
    let shared = shared_segments(chain);
    let tokens: f64 = shared.iter().map(|segment| f64::from(segment.tokens)).sum();
    (tokens - f64::from(worker.computed_tokens(shared))).max(0.0)
}

/// Converts a percentage to a fraction.
fn to_fraction(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}
