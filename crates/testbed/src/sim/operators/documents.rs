//! The configurations that operators of a simulated fleet send, and the quotas that these give.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, SEC, sha256_hex};

pub const QUOTA: u64 = 60;
pub const WINDOW: Micros = SEC;
/// Tenants beside the one whose key comes and goes.
pub const TENANTS: u64 = 4;

pub fn quotas(tenants: u64) -> BTreeMap<String, (u64, Micros)> {
    (0..tenants).map(|i| format!("t{i}")).chain([REVOCABLE.into()]).map(|t| (t, (QUOTA, WINDOW))).collect()
}

/// The tenant whose key comes and goes with the versions.
pub const REVOCABLE: &str = "r";
pub const WAIT: Micros = 2 * SEC;

fn hash(t: &str) -> String {
    sha256_hex(format!("key-{t}").as_bytes())
}

/// Whether a configuration has the key that comes and goes.
pub fn has_key(body: &str) -> bool {
    body.contains(&hash(REVOCABLE))
}

/// A configuration; every eighth one has `grown` more matches than the others.
pub fn tree(n: u64, tenants: u64, grown: u64, rates: bool) -> String {
    let mut ts: Vec<_> =
        (0..tenants).map(|i| format!("\"t{i}\":{{\"keys\":[\"sha256:{}\"]}}", hash(&format!("t{i}")))).collect();
    let k = if n % 4 < 2 { format!("\"sha256:{}\"", hash(REVOCABLE)) } else { String::new() };
    ts.push(format!("\"{REVOCABLE}\":{{\"keys\":[{k}]}}"));
    let more = (0..n % 40 + if n % 8 == 5 { grown } else { 0 })
        .map(|i| format!(",\"m{i}\":{{\"path\":\"/m{i}\",\"pool\":\"llm\"}}"))
        .collect::<String>();
    let m = |name: &str, path: &str, pool: &str, more: &str| {
        format!("\"{name}\":{{\"path\":\"/v1/{path}\",\"pool\":\"{pool}\",\"kind\":\"{more}}}")
    };
    let ms = [
        m(&format!("c{n}"), "chat", "llm", "chat\""),
        m("d", "draft", "llm", "draft\",\"resume\":true"),
        m("s", "summary", "llm", "summary\""),
        m("q", "confirm", "app", "lookup\",\"repeat\":true"),
        m("b", "book", "app", "lookup\""),
    ];
    let quota = if rates {
        format!("{{\"rate\":{QUOTA},\"burst\":{QUOTA}}}")
    } else {
        format!("{{\"calls\":{QUOTA},\"window_ms\":{}}}", WINDOW / MS)
    };
    format!(
        "{{\"defaults\":{{\"quota\":{quota},\"first_ms\":3000,\"idle_ms\":2000,\"wait_ms\":{}}},\"pools\":{{\"llm\":{{}},\"app\":{{}}}},\"matches\":{{{}{more}}},\"tenants\":{{{}}}}}",
        WAIT / MS,
        ms.join(","),
        ts.join(",")
    )
}
