//! Tenants: the customers that own API keys.

use super::{QuotaLimit, QuotaMeasure, RevocationPolicy};

/// The settings of one tenant. The tenant's keys are in [`super::CompiledConfig::keys`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name in the document; empty for the anonymous tenant.
    pub name: String,
    /// The limit on the tenant's calls over all nodes.
    pub quota: QuotaLimit,
    /// The unit that the limit counts.
    pub measure: QuotaMeasure,
    /// The priority weight relative to other tenants, from 1 to 1000.
    pub weight: u64,
    /// The urgency of the tenant's calls, 0 is served first; takes precedence over the match's urgency.
    pub urgency: Option<u8>,
    /// What happens to running streams when their key is revoked; `None` uses the policy of the match.
    pub revocation_policy: Option<RevocationPolicy>,
    /// The names of the matches that the tenant may use; `None` allows all.
    pub matches: Option<Vec<String>>,
}

impl Tenant {
    /// Creates the tenant of calls without a known key, which has no limit.
    pub fn anonymous() -> Tenant {
        Tenant {
            name: String::new(),
            quota: QuotaLimit::Unlimited,
            measure: QuotaMeasure::Calls,
            weight: 1,
            urgency: None,
            revocation_policy: None,
            matches: None,
        }
    }
}
