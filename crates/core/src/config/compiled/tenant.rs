//! Tenants, who call with keys of their own.

use super::{Limit, Measure, OnRevoke};

/// One tenant: its limit and its weight. Its keys are in [`super::CompiledConfig::keys`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name in the document; empty for the anonymous tenant.
    pub name: String,
    /// The limit of its calls over all nodes.
    pub quota: Limit,
    /// What its limit counts.
    pub measure: Measure,
    /// Its priority weight against other tenants, from 1 to 1000.
    pub weight: u64,
    /// The rank of its calls, 0 first; takes precedence over that of the match.
    pub urgency: Option<u8>,
    /// What happens to its running streams when a key is revoked; none leaves it to the match.
    pub on_revoke: Option<OnRevoke>,
    /// The names of the matches that it may call; none means all.
    pub matches: Option<Vec<String>>,
}

impl Tenant {
    /// The tenant of calls without a key, to matches that allow these.
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
