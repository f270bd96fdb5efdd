//! Matches: which calls go to which pools, and how they are served.

use crate::base::Micros;

/// The four kinds of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Look-ups, with the greatest priority weight.
    Lookup,
    /// Conversations.
    Chat,
    /// Drafts of texts.
    Draft,
    /// Summaries, with the least priority weight.
    Summary,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Lookup, Kind::Chat, Kind::Draft, Kind::Summary];

    /// Its name in documents.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Lookup => "lookup",
            Kind::Chat => "chat",
            Kind::Draft => "draft",
            Kind::Summary => "summary",
        }
    }

    /// The kind with this name.
    pub fn parse(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The priority weight of this kind against the others for free slots.
    pub fn weight(self) -> u64 {
        match self {
            Kind::Lookup => 8,
            Kind::Chat => 4,
            Kind::Draft => 2,
            Kind::Summary => 1,
        }
    }
}

/// What happens to the running streams of a key that is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnRevoke {
    /// They run to their end.
    Finish,
    /// They are cut off.
    Cut,
}

impl OnRevoke {
    /// Its name in documents.
    pub fn name(self) -> &'static str {
        match self {
            OnRevoke::Finish => "finish",
            OnRevoke::Cut => "cut",
        }
    }

    /// The policy with this name.
    pub fn parse(name: &str) -> Option<OnRevoke> {
        [OnRevoke::Finish, OnRevoke::Cut].into_iter().find(|policy| policy.name() == name)
    }
}

/// Which calls go to which pools, and how they are served. All times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Its name in the document.
    pub name: String,
    /// The HTTP method of its calls; `POST` by default.
    pub method: String,
    /// The host that calls name, in lower case; none matches every host.
    pub host: Option<String>,
    /// The path of its calls, which may have parameters; empty where it has a prefix only.
    pub path: String,
    /// The prefix of the paths that it matches, with every method, in place of one path.
    pub path_prefix: Option<String>,
    /// The pool that serves it; empty where several share its calls.
    pub pool: String,
    /// Pools that share its calls, each with its weight, in place of one pool.
    pub weighted_pools: Vec<(String, u32)>,
    /// The kind of traffic; chat by default.
    pub kind: Kind,
    /// Within this time to the first token a response has its full value; 0 (the default) is unknown.
    pub latency_target: Micros,
    /// The longest pause between events that a stream bears; 0 (the default) is unknown.
    pub max_stream_gap: Micros,
    /// How many attempts a call may have, each at another worker; 16 by default.
    pub max_attempts: u32,
    /// The rank of its calls, 0 first; none if not configured.
    pub urgency: Option<u8>,
    /// Whether calls need no key; false by default.
    pub allows_anonymous: bool,
    /// Whether request headers name the parts of the prompt, so that the body is not read for them;
    /// false by default.
    pub has_prompt_parts: bool,
    /// How long a call may wait in a queue; 2 seconds by default.
    pub queue_timeout: Micros,
    /// How long an attempt may take to its first byte; 15 seconds by default.
    pub first_byte_timeout: Micros,
    /// How long a stream may pause; 10 seconds by default.
    pub idle_timeout: Micros,
    /// The largest request body, in bytes; 1 MiB by default.
    pub max_body: usize,
    /// The members of the body that lead to the prompt, outermost first.
    pub prompt: Vec<String>,
    /// How many characters of the prompt decide its placement; 256 by default.
    pub prefix_chars: usize,
    /// Whether a call may be run twice, so that it may be retried after a worker began it; false by default.
    pub idempotent: bool,
    /// Whether a broken stream may be resumed at another worker; false by default.
    pub resumable: bool,
    /// What happens to running streams when a key is revoked; they finish by default.
    pub on_revoke: OnRevoke,
}

impl Match {
    /// The names of the pools that may serve it.
    pub fn pools(&self) -> impl Iterator<Item = &str> {
        let single = self.weighted_pools.is_empty().then_some(self.pool.as_str());
        let weighted = self.weighted_pools.iter().filter(|(_, weight)| *weight > 0);
        single.into_iter().chain(weighted.map(|(pool, _)| pool.as_str()))
    }

    /// The name of the pool of a call that drew this random number.
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
