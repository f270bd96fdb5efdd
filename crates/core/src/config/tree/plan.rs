//! What a node looks up for each call: pools, matches, tenants.

use crate::base::{Micros, Version};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The four kinds of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Lookup,
    Chat,
    Draft,
    Summary,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Lookup, Kind::Chat, Kind::Draft, Kind::Summary];

    /// How documents name it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Lookup => "lookup",
            Kind::Chat => "chat",
            Kind::Draft => "draft",
            Kind::Summary => "summary",
        }
    }

    /// The kind of this name.
    pub fn parse(s: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.name() == s)
    }

    /// The share of a place that this kind is owed against the others.
    pub fn weight(self) -> u64 {
        match self {
            Kind::Lookup => 8,
            Kind::Chat => 4,
            Kind::Draft => 2,
            Kind::Summary => 1,
        }
    }
}

/// What happens to the streams of a key that is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnRevoke {
    Finish,
    Cut,
}

/// So many calls in each window of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowQuota {
    pub calls: u64,
    pub window: Micros,
}

/// Thousandths of units: so many a second, and at most so many at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    pub milli_per_second: u64,
    pub burst_milli: u64,
}

/// What a rate counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Measure {
    /// Each call is one unit.
    #[default]
    Calls,
    /// A call is as many units as it has tokens, in and out together; one that doesn't tell them
    /// is `untold` units.
    Tokens { default_units: u32 },
}

impl Measure {
    /// The units of a call that tells these tokens, in and out; nought and nought tell nothing.
    pub fn units(self, (tokens_in, tokens_out): (u32, u32)) -> u32 {
        match self {
            Measure::Calls => 1,
            Measure::Tokens { default_units: untold } => match tokens_in.saturating_add(tokens_out) {
                0 => untold.max(1),
                tokens => tokens,
            },
        }
    }
}

/// How a tenant's calls are limited over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Window(WindowQuota),
    Rate(Rate),
    Unlimited,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    pub name: String,
    /// The addresses that may serve; none named means any that announces itself.
    pub workers: Option<Vec<String>>,
    /// Workers, by id, that an operator lets run empty: no new calls go to them.
    pub drained_workers: Vec<String>,
    pub placement_weights: PlacementWeights,
}

/// How a pool's calls find their workers: weights in hundredths, and facts that can't be learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWeights {
    /// Against bytes between zones.
    pub zone_locality: u32,
    /// Against reading shared parts of prompts again.
    pub prefix_affinity: u32,
    /// Against late first pieces and harm to those beside.
    pub load_spread: u32,
    /// Tokens that fit into a worker's memory; 0 where it is not known.
    pub kv_cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        PlacementWeights {
            zone_locality: 100,
            prefix_affinity: 100,
            load_spread: 100,
            kv_cache_tokens: 0,
            tokens_per_event: 1,
        }
    }
}

impl Pool {
    /// Whether new calls may go to this worker.
    pub fn accepts_worker(&self, worker_id: &str, addr: &str) -> bool {
        let named = self.workers.as_ref().is_none_or(|v| v.iter().any(|a| a == addr));
        named && !self.drained_workers.iter().any(|w| w == worker_id)
    }
}

/// Which calls go to which pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    pub name: String,
    pub method: String,
    /// The host that calls name; none takes every host.
    pub host: Option<String>,
    pub path: String,
    /// The beginning of the paths that it takes, with every method, in place of one path.
    pub path_prefix: Option<String>,
    pub pool: String,
    /// Pools that share its calls by weight, in place of one pool.
    pub weighted_pools: Vec<(String, u32)>,
    pub kind: Kind,
    /// Within this time a response earns its full worth; nought is unknown.
    pub latency_target: Micros,
    /// The longest pause between pieces of a stream that keeps it in time; nought is unknown.
    pub max_stream_gap: Micros,
    /// At how many workers a call may be tried.
    pub max_attempts: u32,
    /// Its rank, nought first.
    pub urgency: Option<u8>,
    /// It needs no key.
    pub allows_anonymous: bool,
    /// The head tells the parts of the prompt, so the body is not read for it.
    pub has_prompt_parts: bool,
    pub queue_timeout: Micros,
    pub first_byte_timeout: Micros,
    pub idle_timeout: Micros,
    pub max_body: usize,
    pub prompt: Vec<String>,
    pub prefix_chars: usize,
    pub idempotent: bool,
    pub resumable: bool,
    pub on_revoke: OnRevoke,
}

/// One tenant: its keys, its limit and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    pub name: String,
    pub quota: Limit,
    /// What its rate counts.
    pub measure: Measure,
    pub weight: u64,
    /// Its rank, before that of the match.
    pub urgency: Option<u8>,
    pub on_revoke: Option<OnRevoke>,
    pub matches: Option<Vec<String>>,
}

/// One version of the configuration, compiled for lookups and never changed.
#[derive(Clone, Debug, Default)]
pub struct CompiledConfig {
    pub version: Version,
    /// The operator's own number of this tree.
    pub revision: u64,
    pub pools: BTreeMap<String, Pool>,
    pub matches: BTreeMap<String, Arc<Match>>,
    /// The matches by method and by path, which may have parameters.
    pub paths: BTreeMap<String, matchit::Router<Arc<Match>>>,
    /// The matches that take all paths with one beginning, by host and by beginning.
    pub path_prefixes: HashMap<Option<String>, HashMap<String, Arc<Match>>>,
    pub tenants: BTreeMap<String, Arc<Tenant>>,
    pub keys: BTreeMap<String, String>,
}

impl CompiledConfig {
    /// The match of a call: by its exact path first, then by the longest beginning,
    /// those of its own host before those of every host.
    pub fn find(&self, method: &str, host: &str, path: &str) -> Option<&Arc<Match>> {
        let exact = self.paths.get(method).and_then(|r| r.at(path).ok()).map(|m| m.value);
        if let Some(m) = exact.filter(|m| m.host.as_deref().is_none_or(|h| h == host)) {
            return Some(m);
        }
        let own = Some(host.to_owned());
        self.under(&own, path).or_else(|| self.under(&None, path))
    }

    fn under(&self, host: &Option<String>, path: &str) -> Option<&Arc<Match>> {
        let m = self.path_prefixes.get(host)?;
        path.rmatch_indices('/').find_map(|(i, _)| m.get(&path[..=i]))
    }

    /// Whether calls need a key at all.
    pub fn requires_key(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenant that this hash of a key belongs to.
    pub fn tenant_of_key(&self, hash: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(self.keys.get(hash)?)
    }
}

impl Match {
    /// The pools that may serve it.
    pub fn pools(&self) -> impl Iterator<Item = &str> {
        let one = self.weighted_pools.is_empty().then_some(self.pool.as_str());
        one.into_iter().chain(self.weighted_pools.iter().filter(|s| s.1 > 0).map(|s| s.0.as_str()))
    }

    /// The pool of the call that drew `n`.
    pub fn pool_for(&self, n: u64) -> &str {
        let sum: u64 = self.weighted_pools.iter().map(|s| u64::from(s.1)).sum();
        let mut at = if sum == 0 { 0 } else { n % sum };
        for (p, w) in &self.weighted_pools {
            match at.checked_sub(u64::from(*w)) {
                None => return p,
                Some(r) => at = r,
            }
        }
        &self.pool
    }
}

impl Tenant {
    /// Who calls an open match without a key.
    pub fn anonymous() -> Tenant {
        Tenant {
            name: String::new(),
            quota: Limit::Unlimited,
            measure: Measure::Calls,
            weight: 1,
            urgency: None,
            on_revoke: None,
            matches: None,
        }
    }
}
