//! Matches: rules that select calls, route them to pools and set how they are served.

use crate::base::Micros;

/// A kind of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficKind {
    /// Lookups, with the highest priority weight.
    Lookup,
    /// Conversations.
    Chat,
    /// Text drafts.
    Draft,
    /// Summaries, with the lowest priority weight.
    Summary,
}

impl TrafficKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [TrafficKind; 4] =
        [TrafficKind::Lookup, TrafficKind::Chat, TrafficKind::Draft, TrafficKind::Summary];

    /// Returns the name in documents.
    pub fn name(self) -> &'static str {
        match self {
            TrafficKind::Lookup => "lookup",
            TrafficKind::Chat => "chat",
            TrafficKind::Draft => "draft",
            TrafficKind::Summary => "summary",
        }
    }

    /// Returns the kind with this name.
    pub fn parse(name: &str) -> Option<TrafficKind> {
        TrafficKind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the priority weight of this kind in the slot queues.
    pub fn weight(self) -> u64 {
        match self {
            TrafficKind::Lookup => 8,
            TrafficKind::Chat => 4,
            TrafficKind::Draft => 2,
            TrafficKind::Summary => 1,
        }
    }
}

/// What happens to the running streams of a revoked key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevocationPolicy {
    /// The streams run to their end.
    Finish,
    /// The streams are aborted.
    Abort,
}

impl RevocationPolicy {
    /// Returns the name in documents.
    pub fn name(self) -> &'static str {
        match self {
            RevocationPolicy::Finish => "finish",
            RevocationPolicy::Abort => "cut",
        }
    }

    /// Returns the policy with this name.
    pub fn parse(name: &str) -> Option<RevocationPolicy> {
        [RevocationPolicy::Finish, RevocationPolicy::Abort].into_iter().find(|policy| policy.name() == name)
    }
}

/// A rule that selects calls, routes them to pools and sets how they are served. All times are in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Its name in the document.
    pub name: String,
    /// The HTTP method of the selected calls; `POST` by default.
    pub method: String,
    /// The host of the selected calls, in lower case; `None` selects every host.
    pub host: Option<String>,
    /// The path pattern of the selected calls, which may have parameters; empty if `path_prefix` is set.
    pub path: String,
    /// The path prefix of the selected calls, with every method; replaces `method` and `path`.
    pub path_prefix: Option<String>,
    /// The pool that serves the calls; empty if `weighted_pools` is used.
    pub pool: String,
    /// The pools that share the calls, with their weights; replaces `pool`.
    pub weighted_pools: Vec<(String, u32)>,
    /// The kind of traffic; chat by default.
    pub kind: TrafficKind,
    /// The target for the time to the first token; 0 (the default) if there is none.
    pub latency_target: Micros,
    /// The target for the longest gap between events of a stream; 0 (the default) if there is none.
    pub max_stream_pause: Micros,
    /// The maximum number of attempts of a call, each at another worker; 16 by default.
    pub max_attempts: u32,
    /// The urgency of the calls, 0 is served first; `None` if not configured.
    pub urgency: Option<u8>,
    /// Whether calls without a key are allowed; false by default.
    pub allows_anonymous: bool,
    /// Whether request headers describe the parts of the prompt, so that the body is not parsed for
    /// the prompt; false by default.
    pub has_prompt_parts: bool,
    /// The maximum wait of a call in the queues; 2 seconds by default.
    pub queue_timeout: Micros,
    /// The time-out of an attempt until its first byte; 15 seconds by default.
    pub first_byte_timeout: Micros,
    /// The idle time-out of a response; 10 seconds by default.
    pub idle_timeout: Micros,
    /// The maximum size of a request body, in bytes; 1 MiB by default.
    pub max_body: usize,
    /// The path of members that leads to the prompt in the body, outermost first.
    pub prompt: Vec<String>,
    /// The number of leading characters of the prompt that determine its placement; 256 by default.
    pub prefix_chars: usize,
    /// Whether a call may run twice, so that it may be retried after a worker may have run it; false by default.
    pub idempotent: bool,
    /// Whether a broken stream may be resumed at another worker; false by default.
    pub resumable: bool,
    /// What happens to running streams when their key is revoked; they finish by default.
    pub revocation_policy: RevocationPolicy,
}

impl Match {
    /// Returns the names of the pools that may serve the calls.
    pub fn pools(&self) -> impl Iterator<Item = &str> {
        let single = self.weighted_pools.is_empty().then_some(self.pool.as_str());
        let weighted = self.weighted_pools.iter().filter(|(_, weight)| *weight > 0);
        single.into_iter().chain(weighted.map(|(pool, _)| pool.as_str()))
    }

    /// Chooses a pool by weight for a call with this random number, and returns the pool's name.
    pub fn pool_for(&self, random: u64) -> &str {
        let total: u64 = self.weighted_pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = if total == 0 { 0 } else { random % total };
        for (pool, weight) in &self.weighted_pools {
            match remaining.checked_sub(u64::from(*weight)) {
                None => return pool,
                Some(rest) => remaining = rest,
            }
        }
        &self.pool
    }
}
