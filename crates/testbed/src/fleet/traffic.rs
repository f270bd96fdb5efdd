use super::nodes::Shape;
use crate::standin::{Caller, Http, Outcome};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use sumacvale_core::base::{Rng, sha256_hex};
use tokio::sync::watch;
use tokio::task::JoinSet;

pub const QUOTA: u64 = 120;
pub const WINDOW_MS: u64 = 1_000;

pub fn key(t: usize) -> String {
    format!("key-of-tenant-{t}")
}

/// The tree of a deployment; `extra` matches make each version differ.
pub fn tree(s: Shape, extra: usize, without: &[usize]) -> String {
    let ts: Vec<_> = (0..s.tenants)
        .map(|i| {
            let ks = if without.contains(&i) {
                String::new()
            } else {
                format!("\"sha256:{}\"", sha256_hex(key(i).as_bytes()))
            };
            let w = if i < 2 { 3 } else { 1 };
            format!("\"t{i}\":{{\"keys\":[{ks}],\"weight\":{w}}}")
        })
        .collect();
    let ex: String = (0..extra).map(|i| format!(",\"x{i}\":{{\"path\":\"/x/{i}\",\"pool\":\"app\"}}")).collect();
    format!(
        "{{\"defaults\":{{\"quota\":{{\"calls\":{QUOTA},\"window_ms\":{WINDOW_MS}}},\"prefix_chars\":32}},\
         \"pools\":{{\"llm\":{{}},\"app\":{{}}}},\
         \"matches\":{{\
         \"draft\":{{\"path\":\"/v1/draft\",\"pool\":\"llm\",\"kind\":\"draft\",\"resume\":true}},\
         \"chat\":{{\"path\":\"/v1/chat\",\"pool\":\"llm\",\"kind\":\"chat\"}},\
         \"summary\":{{\"path\":\"/v1/summary\",\"pool\":\"llm\",\"kind\":\"summary\",\"wait_ms\":5000}},\
         \"confirm\":{{\"path\":\"/v1/confirm\",\"pool\":\"app\",\"kind\":\"lookup\",\"repeat\":true}},\
         \"book\":{{\"path\":\"/v1/book\",\"pool\":\"app\",\"kind\":\"lookup\"}}{ex}}},\
         \"tenants\":{{{}}}}}",
        ts.join(",")
    )
}

/// The paths whose calls must not run twice.
pub fn unsafe_path(p: &str) -> bool {
    matches!(p, "/v1/chat" | "/v1/summary" | "/v1/book")
}

/// Which fronts the platform would hand clients to now.
pub type Fronts = watch::Receiver<Vec<String>>;

pub type Done = Arc<Mutex<Vec<Outcome>>>;

/// Sends calls at the deployment's rates until told to stop, then awaits them.
pub async fn drive(
    s: Shape,
    http: Http,
    fronts: Fronts,
    seed: u64,
    mut stop: watch::Receiver<bool>,
    done: Done,
    scale: u64,
) {
    let mut r = Rng::new(seed);
    let mut t = tokio::time::interval(Duration::from_millis(10));
    t.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut set = JoinSet::new();
    let mut n = 0u64;
    let mut owed = [0u64; 2];
    loop {
        tokio::select! {
            _ = t.tick() => {}
            _ = stop.wait_for(|s| *s) => break,
        }
        while set.try_join_next().is_some() {}
        for (k, rate) in [s.lookups, s.model_calls].into_iter().enumerate() {
            owed[k] += rate * scale;
            // Calls come at random moments, on the average at the rate.
            let many = owed[k] / 10_000;
            owed[k] %= 10_000;
            let many = many + u64::from(r.below(10_000) < owed[k]);
            if r.below(10_000) < owed[k] {
                owed[k] = 0;
            }
            for _ in 0..many {
                n += 1;
                let Some(c) = one(k, &mut r, s, &http) else { continue };
                let fs = fronts.borrow().clone();
                if fs.is_empty() {
                    continue;
                }
                let f = fs[usize::try_from(r.below(fs.len() as u64)).unwrap_or(0)].clone();
                let id = format!("{seed:x}-{n}");
                let prompt = format!("prefix {:02} of {} shared by all its calls|{n}", r.below(40), c.tenant);
                let done = done.clone();
                set.spawn(async move {
                    let o = c.call(&f, &id, &prompt).await;
                    if let Ok(mut g) = done.lock() {
                        g.push(o);
                    }
                });
            }
        }
    }
    while set.join_next().await.is_some() {}
}

fn one(k: usize, r: &mut Rng, s: Shape, http: &Http) -> Option<Caller> {
    let (kind, path) = if k == 0 {
        if r.chance(80) { ("lookup", "/v1/confirm") } else { ("lookup", "/v1/book") }
    } else {
        match r.below(100) {
            0..30 => ("draft", "/v1/draft"),
            30..85 => ("chat", "/v1/chat"),
            _ => ("summary", "/v1/summary"),
        }
    };
    // A few tenants have most of the traffic; one call in fifty has no known key.
    let t = if r.chance(55) { r.below(2) } else { r.below(s.tenants as u64) };
    let t = usize::try_from(t).ok()?;
    let key = if r.chance(2) { format!("nobody-{}", r.below(1_000)) } else { key(t) };
    Some(Caller { http: http.clone(), kind, path, tenant: format!("t{t}"), key })
}
