use super::Shape;
use sumacvale_core::base::{MS, sha256_hex};
use sumacvale_core::protocol::WorkerReport;

/// The configuration of `n` changes ago is told from this one by one tenant's weight.
pub fn tree(s: &Shape, n: u64) -> String {
    let t = |i: u64| {
        let w = if i == 0 { n % 90 + 1 } else { 1 };
        let k = sha256_hex(format!("key-t{i}").as_bytes());
        format!("\"t{i}\":{{\"keys\":[\"sha256:{k}\"],\"weight\":{w}}}")
    };
    let m = |i: u64| {
        format!(
            "\"m{i}\":{{\"path\":\"/v1/m{i}\",\"pool\":\"p{}\",\"kind\":\"chat\",\"resume\":true}}",
            i % s.pools.max(1)
        )
    };
    let ps: Vec<_> = (0..s.pools).map(|i| format!("\"p{i}\":{{}}")).collect();
    let ts: Vec<_> = (0..s.tenants).map(t).collect();
    let ms: Vec<_> = (0..s.matches).map(m).collect();
    let quota = (s.calls * 20 / s.tenants.max(1)).max(100);
    format!(
        "{{\"defaults\":{{\"quota\":{{\"calls\":{quota},\"window_ms\":5000}}}},\"pools\":{{{}}},\"matches\":{{{}}},\"tenants\":{{{}}}}}",
        ps.join(","),
        ms.join(","),
        ts.join(",")
    )
}

/// What a worker says of itself at its n-th beat.
pub fn row(s: &Shape, k: u64, n: u64) -> WorkerReport {
    WorkerReport {
        worker_id: format!("worker-{k:06}"),
        incarnation: 1_000,
        seq: n,
        addr: format!("10.{}.{}.{}:8000", 100 + k / 60_000, k / 250 % 250, k % 250 + 1),
        pool: format!("p{}", k % s.pools.max(1)),
        zone: zone(s, k / s.pools.max(1)),
        slots: 48,
        busy: u32::try_from((k + n * 7) % 48).unwrap_or(0),
        draining: false,
        warm_up_left: 0,
        removed: false,
        age: 0,
    }
}

pub fn zone(s: &Shape, i: u64) -> String {
    let z = i % s.zones.max(1);
    format!("region-{}-zone-{z}", z % s.regions.max(1))
}

pub fn region(s: &Shape, i: u64) -> u64 {
    i % s.zones.max(1) % s.regions.max(1)
}

pub const GIVE_UP: u64 = 2_000 * MS;
