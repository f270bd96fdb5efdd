//! From a document to the plan that follows from it, or to all that is wrong with it.

use super::ConfigError;
use super::read::{Read, wrong};
use super::shape::shape;
use crate::base::MS;
use crate::config::tree::{
    CompiledConfig, Kind, Limit, Match, Measure, OnRevoke, PlacementWeights, Pool, Rate, Tenant, WindowQuota,
};
use sonic_rs::JsonValueTrait;
use std::net::SocketAddr;
use std::sync::Arc;

const SHARED: [&str; 16] = [
    "wait_ms",
    "first_ms",
    "idle_ms",
    "max_body",
    "prompt",
    "prefix_chars",
    "repeat",
    "resume",
    "on_revoke",
    "kind",
    "aim_ms",
    "gap_ms",
    "tries",
    "urgency",
    "open",
    "parts",
];

/// How documents name this.
pub fn revoke_name(r: OnRevoke) -> &'static str {
    match r {
        OnRevoke::Finish => "finish",
        OnRevoke::Cut => "cut",
    }
}

/// Compiles a tree, or lists everything that is wrong with it.
pub fn validate(s: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    let mut out = shape(s);
    if !out.is_empty() {
        return Err(out);
    }
    let v: sonic_rs::Value = match sonic_rs::from_str(s) {
        Ok(v) => v,
        Err(e) => return Err(vec![ConfigError::NotJson(e.to_string())]),
    };
    let r = Read::root(&v, &mut out);
    r.only(&["revision", "defaults", "pools", "matches", "tenants"], &mut out);
    let revision = r.num("revision", 0, 1 << 53, &mut out).unwrap_or(0);
    let d = r.sub("defaults", &mut out);
    let mut known = SHARED.to_vec();
    known.extend(["quota", "weight", "placement", "engine"]);
    d.only(&known, &mut out);
    let base = Match {
        name: String::new(),
        method: "POST".into(),
        host: None,
        path: String::new(),
        path_prefix: None,
        pool: String::new(),
        weighted_pools: Vec::new(),
        kind: Kind::Chat,
        latency_target: 0,
        max_stream_gap: 0,
        max_attempts: 16,
        urgency: None,
        allows_anonymous: false,
        has_prompt_parts: false,
        queue_timeout: 2_000 * MS,
        first_byte_timeout: 15_000 * MS,
        idle_timeout: 10_000 * MS,
        max_body: 1 << 20,
        prompt: vec!["prompt".into()],
        prefix_chars: 256,
        idempotent: false,
        resumable: false,
        on_revoke: OnRevoke::Finish,
    };
    let base = shared(&d, base, &mut out);
    let usual = (Limit::Window(WindowQuota { calls: 100, window: 1_000 * MS }), Measure::Calls);
    let q = quota(&d, &mut out).unwrap_or(usual);
    let w = d.num("weight", 1, 1000, &mut out).unwrap_or(1);
    let pl = placement(&d, PlacementWeights::default(), &mut out);

    let mut p = CompiledConfig { revision, ..CompiledConfig::default() };
    for (n, r) in r.sub("pools", &mut out).each(&mut out) {
        p.pools.insert(n.clone(), pool(n, &r, &pl, &mut out));
    }
    let mut known = SHARED.to_vec();
    known.extend(["method", "host", "path", "under", "pool", "split"]);
    for (n, r) in r.sub("matches", &mut out).each(&mut out) {
        r.only(&known, &mut out);
        let mut m = shared(&r, base.clone(), &mut out);
        m.name = n;
        if let Some(s) = r.text("method", &mut out) {
            if ["GET", "POST", "PUT", "DELETE", "PATCH"].contains(&s) {
                m.method = s.into();
            } else if let Some(v) = r.raw("method") {
                out.push(wrong(&r.path("method"), v, "GET, POST, PUT, PATCH or DELETE"));
            }
        }
        match r.text("path", &mut out) {
            Some(s) if s.starts_with('/') && !s.contains(['?', '#', ' ']) => m.path = s.into(),
            Some(_) => {
                if let Some(v) = r.raw("path") {
                    out.push(wrong(&r.path("path"), v, "a path that begins with / and has no ?, # or space"));
                }
            }
            None if r.there() && r.raw("path").is_none() && r.raw("under").is_none() => {
                out.push(ConfigError::Missing { at: r.path("path"), want: "the path that callers use".into() });
            }
            None => {}
        }
        m.host = r.text("host", &mut out).map(str::to_ascii_lowercase);
        m.path_prefix = under(&r, &mut out);
        m.weighted_pools = split(&r, &p, &mut out);
        match r.text("pool", &mut out) {
            Some(s) if p.pools.contains_key(s) => m.pool = s.into(),
            Some(s) => {
                out.push(ConfigError::Dangling { at: r.path("pool"), name: s.into(), sort: "/pools".into() });
            }
            None if r.there() && r.raw("pool").is_none() && r.raw("split").is_none() => {
                out.push(ConfigError::Missing { at: r.path("pool"), want: "the name of a pool".into() });
            }
            None => {}
        }
        let m = Arc::new(m);
        p.matches.insert(m.name.clone(), m.clone());
        if !m.path.is_empty() {
            path(&m, &r, &mut p, &mut out);
        }
        if let Some(u) = &m.path_prefix
            && let Some(o) = p.path_prefixes.entry(m.host.clone()).or_default().insert(u.clone(), m.clone())
        {
            out.push(ConfigError::Taken { at: r.path("under"), by: format!("/matches/{}", o.name) });
        }
    }
    for (n, r) in r.sub("tenants", &mut out).each(&mut out) {
        tenant(&n, &r, q, w, &mut p, &mut out);
    }
    if out.is_empty() { Ok(p) } else { Err(out) }
}

/// A path may have parameters: `{name}` for one part, `{*name}` for the rest.
fn path(m: &Arc<Match>, r: &Read, p: &mut CompiledConfig, out: &mut Vec<ConfigError>) {
    let t = p.paths.entry(m.method.clone()).or_default();
    match t.insert(m.path.clone(), m.clone()) {
        Ok(()) => {}
        Err(matchit::InsertError::Conflict { with }) => {
            // The same as another's, whatever the parameters are called.
            let by = t.at(&with).map_or_else(|_| with.clone(), |x| format!("/matches/{}", x.value.name));
            out.push(ConfigError::Taken { at: r.path("path"), by });
        }
        Err(_) => {
            if let Some(v) = r.raw("path") {
                let want = "a path whose parameters are {name} for one part and {*name} for all of the rest";
                out.push(wrong(&r.path("path"), v, want));
            }
        }
    }
}

/// A match may take all paths with one beginning, whatever their method.
fn under(r: &Read, out: &mut Vec<ConfigError>) -> Option<String> {
    let s = r.text("under", out)?;
    let v = r.raw("under")?;
    if r.raw("path").is_some() || r.raw("method").is_some() {
        out.push(wrong(&r.path("under"), v, "without path and method, since it takes all of them"));
    }
    if s.starts_with('/') && s.ends_with('/') && !s.contains(['?', '#', ' ']) {
        return Some(s.to_owned());
    }
    out.push(wrong(&r.path("under"), v, "a beginning of paths that begins and ends with /"));
    None
}

fn split(r: &Read, p: &CompiledConfig, out: &mut Vec<ConfigError>) -> Vec<(String, u32)> {
    let Some(v) = r.raw("split") else { return Vec::new() };
    if r.raw("pool").is_some() {
        out.push(wrong(&r.path("split"), v, "without pool, or pool without it"));
    }
    let mut o = Vec::new();
    for (n, w) in r.sub("split", out).weights(1_000_000, out) {
        if p.pools.contains_key(&n) {
            o.push((n, w));
        } else {
            out.push(ConfigError::Dangling { at: r.path("split"), name: n, sort: "/pools".into() });
        }
    }
    if o.iter().all(|x| x.1 == 0) {
        out.push(wrong(&r.path("split"), v, "weights by pool, at least one of them above nought"));
    }
    o
}

fn shared(r: &Read, mut m: Match, out: &mut Vec<ConfigError>) -> Match {
    let mut ms = |k: &str, o: &mut u64| {
        if let Some(n) = r.num(k, 1, 3_600_000, out) {
            *o = n * MS;
        }
    };
    ms("wait_ms", &mut m.queue_timeout);
    ms("first_ms", &mut m.first_byte_timeout);
    ms("idle_ms", &mut m.idle_timeout);
    if let Some(n) = r.num("max_body", 1, 64 << 20, out) {
        m.max_body = usize::try_from(n).unwrap_or(1 << 20);
    }
    if let Some(n) = r.num("prefix_chars", 1, 1 << 20, out) {
        m.prefix_chars = usize::try_from(n).unwrap_or(256);
    }
    let mut span = |k: &str, o: &mut u64| {
        if let Some(n) = r.num(k, 0, 3_600_000, out) {
            *o = n * MS;
        }
    };
    span("aim_ms", &mut m.latency_target);
    span("gap_ms", &mut m.max_stream_gap);
    if let Some(n) = r.num("tries", 1, 64, out) {
        m.max_attempts = u32::try_from(n).unwrap_or(1);
    }
    m.urgency = urgency(r, out).or(m.urgency);
    m.allows_anonymous = r.flag("open", out).unwrap_or(m.allows_anonymous);
    m.has_prompt_parts = r.flag("parts", out).unwrap_or(m.has_prompt_parts);
    m.idempotent = r.flag("repeat", out).unwrap_or(m.idempotent);
    m.resumable = r.flag("resume", out).unwrap_or(m.resumable);
    if let Some(s) = r.text("prompt", out) {
        match s.strip_prefix('/') {
            Some(t) => {
                m.prompt = t.split('/').map(|x| x.replace("~1", "/").replace("~0", "~")).collect();
            }
            None => {
                if let Some(v) = r.raw("prompt") {
                    out.push(wrong(&r.path("prompt"), v, "a JSON pointer such as /prompt"));
                }
            }
        }
    }
    if let Some(x) = on_revoke(r, out) {
        m.on_revoke = x;
    }
    if let Some(s) = r.text("kind", out) {
        match Kind::parse(s) {
            Some(k) => m.kind = k,
            None => {
                if let Some(v) = r.raw("kind") {
                    out.push(wrong(&r.path("kind"), v, "lookup, chat, draft or summary"));
                }
            }
        }
    }
    m
}

fn urgency(r: &Read, out: &mut Vec<ConfigError>) -> Option<u8> {
    r.num("urgency", 0, 9, out).and_then(|n| u8::try_from(n).ok())
}

fn on_revoke(r: &Read, out: &mut Vec<ConfigError>) -> Option<OnRevoke> {
    match r.text("on_revoke", out)? {
        "finish" => Some(OnRevoke::Finish),
        "cut" => Some(OnRevoke::Cut),
        _ => {
            if let Some(v) = r.raw("on_revoke") {
                out.push(wrong(&r.path("on_revoke"), v, "finish or cut"));
            }
            None
        }
    }
}

/// A limit and what it counts.
fn quota(r: &Read, out: &mut Vec<ConfigError>) -> Option<(Limit, Measure)> {
    let v = r.raw("quota")?;
    if v.is_str() {
        if v.as_str() == Some("none") {
            return Some((Limit::Unlimited, Measure::Calls));
        }
        out.push(wrong(&r.path("quota"), v, "\"none\", a rate with a burst, or calls in a window_ms"));
        return None;
    }
    let q = r.sub("quota", out);
    if RATE.iter().any(|k| q.raw(k).is_some()) {
        return rate(&q, out);
    }
    q.only(&["calls", "window_ms"], out);
    for k in ["calls", "window_ms"] {
        if q.there() && q.raw(k).is_none() {
            out.push(ConfigError::Missing { at: q.path(k), want: "a whole number".into() });
        }
    }
    let c = q.num("calls", 1, 1_000_000_000, out);
    let w = q.num("window_ms", 100, 86_400_000, out);
    Some((Limit::Window(WindowQuota { calls: c?, window: w? * MS }), Measure::Calls))
}

/// What a rate may say of itself.
const RATE: [&str; 6] = ["rate", "burst", "over", "slack", "measure", "untold"];
/// The largest rate and burst, in thousandths of units.
const RATE_MOST: u64 = 1_000_000_000_000;
/// A unit may be used so long after it was taken, in parts of a second.
const LATE: u64 = 2;

/// `over` and `slack` say by how much the limit may be passed. They are used up, but for
/// what units that are used late may add to an interval.
fn rate(q: &Read, out: &mut Vec<ConfigError>) -> Option<(Limit, Measure)> {
    q.only(&RATE, out);
    for k in ["rate", "burst"] {
        if q.there() && q.raw(k).is_none() {
            out.push(ConfigError::Missing { at: q.path(k), want: "a number".into() });
        }
    }
    let r = q.milli("rate", 1, RATE_MOST, out);
    let b = q.milli("burst", 1_000, RATE_MOST, out);
    let over = q.milli("over", 0, 1_000, out).unwrap_or(0);
    let slack = q.milli("slack", 0, RATE_MOST, out).unwrap_or(0);
    let measure = measure(q, out)?;
    let (r, b) = (r?, b?);
    let free = slack + b * over / 1000;
    let burst = match measure {
        Measure::Calls => b + free.saturating_sub(r / LATE),
        // Few calls make up a large part of such a limit, so what is used late is taken off the
        // burst itself where the slack doesn't pay for it.
        Measure::Tokens { .. } => (b + free).saturating_sub(r / LATE).max(b / 2),
    };
    Some((Limit::Rate(Rate { milli_per_second: r + r * over / 1000, burst_milli: burst }), measure))
}

/// What a rate counts: calls, unless it says otherwise.
fn measure(q: &Read, out: &mut Vec<ConfigError>) -> Option<Measure> {
    let untold = q.num("untold", 1, u64::from(u32::MAX), out).and_then(|n| u32::try_from(n).ok());
    match q.raw("measure").map(|v| (v, v.as_str())) {
        None | Some((_, Some("calls"))) => Some(Measure::Calls),
        Some((_, Some("tokens"))) => Some(Measure::Tokens { default_units: untold.unwrap_or(1) }),
        Some((v, _)) => {
            out.push(wrong(&q.path("measure"), v, "calls or tokens"));
            None
        }
    }
}

/// Weights in hundredths, and what the engines of a pool are like.
fn placement(r: &Read, mut p: PlacementWeights, out: &mut Vec<ConfigError>) -> PlacementWeights {
    let w = r.sub("placement", out);
    w.only(&["near", "reread", "spread"], out);
    for (k, o) in [("near", &mut p.zone_locality), ("reread", &mut p.prefix_affinity), ("spread", &mut p.load_spread)] {
        if let Some(n) = w.num(k, 0, 10_000, out) {
            *o = u32::try_from(n).unwrap_or(100);
        }
    }
    let e = r.sub("engine", out);
    e.only(&["memory_tokens", "tokens_per_event"], out);
    p.kv_cache_tokens = e.num("memory_tokens", 0, 1 << 40, out).unwrap_or(p.kv_cache_tokens);
    if let Some(n) = e.num("tokens_per_event", 1, 10_000, out) {
        p.tokens_per_event = u32::try_from(n).unwrap_or(1);
    }
    p
}

fn pool(n: String, r: &Read, d: &PlacementWeights, out: &mut Vec<ConfigError>) -> Pool {
    r.only(&["workers", "drain", "placement", "engine"], out);
    let placement = placement(r, d.clone(), out);
    let drain: Vec<_> = r.texts("drain", out).unwrap_or_default().into_iter().map(str::to_owned).collect();
    let any = r.raw("workers").is_none_or(|v| v.as_str() == Some("any"));
    if any {
        return Pool { name: n, workers: None, drained_workers: drain, placement_weights: placement };
    }
    let ws = r.texts("workers", out).unwrap_or_default();
    if ws.is_empty()
        && let Some(v) = r.raw("workers")
        && v.is_array()
    {
        out.push(wrong(&r.path("workers"), v, "\"any\" or a list with at least one address"));
    }
    for (i, w) in ws.iter().enumerate() {
        if w.parse::<SocketAddr>().is_err() {
            out.push(ConfigError::Wrong {
                at: format!("{}/{i}", r.path("workers")),
                is: (*w).into(),
                want: "an IP address and port".into(),
            });
        } else if ws[..i].contains(w) {
            out.push(ConfigError::Taken { at: format!("{}/{i}", r.path("workers")), by: (*w).into() });
        }
    }
    Pool {
        name: n,
        workers: Some(ws.into_iter().map(str::to_owned).collect()),
        drained_workers: drain,
        placement_weights: placement,
    }
}

fn tenant(n: &str, r: &Read, q: (Limit, Measure), w: u64, p: &mut CompiledConfig, out: &mut Vec<ConfigError>) {
    r.only(&["keys", "quota", "weight", "matches", "on_revoke", "urgency"], out);
    let (quota, measure) = quota(r, out).unwrap_or(q);
    let weight = r.num("weight", 1, 1000, out).unwrap_or(w);
    if r.there() && r.raw("keys").is_none() {
        out.push(ConfigError::Missing { at: r.path("keys"), want: "a list of key hashes, which may be empty".into() });
    }
    for (i, k) in r.texts("keys", out).unwrap_or_default().into_iter().enumerate() {
        let at = format!("{}/{i}", r.path("keys"));
        let hex = k
            .strip_prefix("sha256:")
            .filter(|h| h.len() == 64 && h.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)));
        let Some(h) = hex else {
            out.push(ConfigError::Wrong {
                at,
                is: "something else (not shown, it may be a key)".into(),
                want: "sha256: and the 64 small hex digits of the key's hash".into(),
            });
            continue;
        };
        if let Some(o) = p.keys.insert(h.to_owned(), n.to_owned()) {
            out.push(ConfigError::Taken { at, by: format!("/tenants/{o}") });
        }
    }
    let any = r.raw("matches").is_none_or(|v| v.as_str() == Some("all"));
    let ms = if any { None } else { r.texts("matches", out) };
    for (i, m) in ms.iter().flatten().enumerate() {
        if !p.matches.contains_key(*m) {
            out.push(ConfigError::Dangling {
                at: format!("{}/{i}", r.path("matches")),
                name: (*m).into(),
                sort: "/matches".into(),
            });
        }
    }
    let t = Tenant {
        name: n.to_owned(),
        quota,
        measure,
        weight,
        urgency: urgency(r, out),
        on_revoke: on_revoke(r, out),
        matches: ms.map(|v| v.into_iter().map(str::to_owned).collect()),
    };
    p.tenants.insert(n.to_owned(), Arc::new(t));
}
