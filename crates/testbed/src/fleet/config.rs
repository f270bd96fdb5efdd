//! The configuration that test fleets run with.

use super::spec::FleetSpec;
use sumacvale_core::base::sha256_hex;

/// The quota of each tenant, in calls per window of [`WINDOW_MS`].
pub const CALLS_PER_WINDOW: u64 = 120;
/// The length of a quota window, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// The number of tenants with a higher weight: the first ones, which have most of the traffic.
const BUSY_TENANTS: usize = 2;

/// Returns the API key of a tenant.
#[must_use]
pub fn tenant_key(tenant: usize) -> String {
    format!("key-of-tenant-{tenant}")
}

/// Returns true if a call to this path must not run more than once.
pub fn must_not_repeat(path: &str) -> bool {
    matches!(path, "/v1/chat" | "/v1/summary" | "/v1/book")
}

/// Returns the configuration of a fleet as JSON. A different number of `extra_matches` gives a different
/// configuration; the tenants in `revoked` have no key.
#[must_use]
pub fn config_tree(spec: FleetSpec, extra_matches: usize, revoked: &[usize]) -> String {
    let tenants: Vec<_> = (0..spec.tenants).map(|tenant| tenant_entry(tenant, revoked.contains(&tenant))).collect();
    let extra: String = (0..extra_matches)
        .map(|number| format!(",\"x{number}\":{{\"path\":\"/x/{number}\",\"pool\":\"app\"}}"))
        .collect();
    format!(
        "{{\"defaults\":{{\"quota\":{{\"calls\":{CALLS_PER_WINDOW},\"window_ms\":{WINDOW_MS}}},\"prefix_chars\":32}},\
         \"pools\":{{\"llm\":{{}},\"app\":{{}}}},\
         \"matches\":{{\
         \"draft\":{{\"path\":\"/v1/draft\",\"pool\":\"llm\",\"kind\":\"draft\",\"resume\":true}},\
         \"chat\":{{\"path\":\"/v1/chat\",\"pool\":\"llm\",\"kind\":\"chat\"}},\
         \"summary\":{{\"path\":\"/v1/summary\",\"pool\":\"llm\",\"kind\":\"summary\",\"wait_ms\":5000}},\
         \"confirm\":{{\"path\":\"/v1/confirm\",\"pool\":\"app\",\"kind\":\"lookup\",\"repeat\":true}},\
         \"book\":{{\"path\":\"/v1/book\",\"pool\":\"app\",\"kind\":\"lookup\"}}{extra}}},\
         \"tenants\":{{{}}}}}",
        tenants.join(",")
    )
}

/// Returns the JSON entry of a tenant.
fn tenant_entry(tenant: usize, is_revoked: bool) -> String {
    let hash = sha256_hex(tenant_key(tenant).as_bytes());
    let keys = if is_revoked { String::new() } else { format!("\"sha256:{hash}\"") };
    let weight = if tenant < BUSY_TENANTS { 3 } else { 1 };
    format!("\"t{tenant}\":{{\"keys\":[{keys}],\"weight\":{weight}}}")
}
