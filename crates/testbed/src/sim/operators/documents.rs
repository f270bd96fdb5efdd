//! The configurations that operators of a simulated fleet submit, and the quotas that they set.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC, sha256_hex};

/// Calls of each tenant that a quota window admits, or the rate of calls a second.
pub const QUOTA_CALLS: u64 = 60;
/// The length of a quota window, in microseconds.
pub const QUOTA_WINDOW: Micros = SEC;
/// The number of tenants without [`REVOCABLE_TENANT`].
pub const TENANT_COUNT: u64 = 4;

/// The quota of each tenant: calls in a window, and the length of the window in microseconds.
pub fn tenant_quotas(tenants: u64) -> BTreeMap<String, (u64, Micros)> {
    (0..tenants)
        .map(|i| format!("t{i}"))
        .chain([REVOCABLE_TENANT.into()])
        .map(|tenant| (tenant, (QUOTA_CALLS, QUOTA_WINDOW)))
        .collect()
}

/// The tenant whose key only some versions have: it is revoked and granted again.
pub const REVOCABLE_TENANT: &str = "r";
/// How long a worker may send nothing before its response is aborted, in microseconds.
pub const IDLE_TIMEOUT: Micros = 2 * SEC;
/// How long a call may wait for a slot or a quota unit, in microseconds.
pub const MAX_WAIT: Micros = 2 * SEC;

/// The hash under which a configuration holds a tenant's key.
fn key_hash(tenant: &str) -> String {
    sha256_hex(format!("key-{tenant}").as_bytes())
}

/// Whether a configuration has the key of [`REVOCABLE_TENANT`].
pub fn has_revocable_key(body: &str) -> bool {
    body.contains(&key_hash(REVOCABLE_TENANT))
}

/// The pool that a configuration routes the calls of this path to.
pub fn pool_of(path: &str) -> &'static str {
    if matches!(path, "/v1/confirm" | "/v1/book") { "app" } else { "llm" }
}

/// Makes a configuration; every eighth one has `extra_routes` more matches than the others.
pub fn config_tree(number: u64, tenants: u64, extra_routes: u64, quotas_are_rates: bool) -> String {
    let mut tenant_entries: Vec<_> =
        (0..tenants).map(|i| format!("\"t{i}\":{{\"keys\":[\"sha256:{}\"]}}", key_hash(&format!("t{i}")))).collect();
    let revocable_key =
        if number % 4 < 2 { format!("\"sha256:{}\"", key_hash(REVOCABLE_TENANT)) } else { String::new() };
    tenant_entries.push(format!("\"{REVOCABLE_TENANT}\":{{\"keys\":[{revocable_key}]}}"));
    let extra_matches = (0..number % 40 + if number % 8 == 5 { extra_routes } else { 0 })
        .map(|i| format!(",\"m{i}\":{{\"path\":\"/m{i}\",\"pool\":\"llm\"}}"))
        .collect::<String>();
    let match_entry = |name: &str, path: &str, pool: &str, kind: &str| {
        format!("\"{name}\":{{\"path\":\"/v1/{path}\",\"pool\":\"{pool}\",\"kind\":\"{kind}}}")
    };
    let match_entries = [
        match_entry(&format!("c{number}"), "chat", "llm", "chat\""),
        match_entry("d", "draft", "llm", "draft\",\"resume\":true,\"gap_ms\":100"),
        match_entry("s", "summary", "llm", "summary\""),
        match_entry("q", "confirm", "app", "lookup\",\"repeat\":true"),
        match_entry("b", "book", "app", "lookup\""),
    ];
    let quota = if quotas_are_rates {
        format!("{{\"rate\":{QUOTA_CALLS},\"burst\":{QUOTA_CALLS}}}")
    } else {
        format!("{{\"calls\":{QUOTA_CALLS},\"window_ms\":{}}}", QUOTA_WINDOW / MS)
    };
    format!(
        "{{\"defaults\":{{\"quota\":{quota},\"first_ms\":3000,\"idle_ms\":{},\"wait_ms\":{}}},\"pools\":{{\"llm\":{{}},\"app\":{{}}}},\"matches\":{{{}{extra_matches}}},\"tenants\":{{{}}}}}",
        IDLE_TIMEOUT / MS,
        MAX_WAIT / MS,
        match_entries.join(","),
        tenant_entries.join(",")
    )
}
