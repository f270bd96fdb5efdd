//! What is in force for one name, with all that it inherits.

use super::{CompiledConfig, Limit, Measure};
use crate::config::check::{ConfigError, validate};

/// The settings of one match or tenant with every inherited value written out.
pub fn effective(p: &CompiledConfig, sort: &str, name: &str) -> Option<String> {
    let q = |s: &str| sonic_rs::to_string(s).unwrap_or_default();
    match sort {
        "matches" => {
            let m = p.matches.get(name)?;
            Some(format!(
                "{{\"name\":{},\"method\":{},\"path\":{},\"pool\":{},\"kind\":{},\"wait_ms\":{},\"first_ms\":{},\"idle_ms\":{},\"max_body\":{},\"prompt\":{},\"prefix_chars\":{},\"repeat\":{},\"resume\":{},\"on_revoke\":{},\"host\":{},\"under\":{},\"split\":{},\"aim_ms\":{},\"gap_ms\":{},\"tries\":{},\"urgency\":{},\"open\":{},\"parts\":{}}}",
                q(&m.name),
                q(&m.method),
                q(&m.path),
                q(&m.pool),
                q(m.kind.name()),
                m.queue_timeout / 1000,
                m.first_byte_timeout / 1000,
                m.idle_timeout / 1000,
                m.max_body,
                q(&format!("/{}", m.prompt.join("/"))),
                m.prefix_chars,
                m.idempotent,
                m.resumable,
                q(super::super::check::revoke_name(m.on_revoke)),
                opt(m.host.as_deref().map(q)),
                opt(m.path_prefix.as_deref().map(q)),
                split(&m.weighted_pools),
                m.latency_target / 1000,
                m.max_stream_gap / 1000,
                m.max_attempts,
                opt(m.urgency.map(|u| u.to_string())),
                m.allows_anonymous,
                m.has_prompt_parts,
            ))
        }
        "tenants" => {
            let t = p.tenants.get(name)?;
            let n = p.keys.values().filter(|v| *v == name).count();
            let ms = match &t.matches {
                None => "\"all\"".to_owned(),
                Some(v) => sonic_rs::to_string(v).unwrap_or_default(),
            };
            let r = match t.on_revoke {
                None => "null".to_owned(),
                Some(r) => q(super::super::check::revoke_name(r)),
            };
            Some(format!(
                "{{\"name\":{},\"keys\":{n},\"quota\":{},\"weight\":{},\"matches\":{ms},\"on_revoke\":{r}}}",
                q(&t.name),
                limit(t.quota, t.measure),
                t.weight,
            ))
        }
        _ => None,
    }
}

fn opt(s: Option<String>) -> String {
    s.unwrap_or_else(|| "null".into())
}

fn split(v: &[(String, u32)]) -> String {
    let v: Vec<_> = v.iter().map(|(p, w)| format!("{}:{w}", sonic_rs::to_string(p).unwrap_or_default())).collect();
    format!("{{{}}}", v.join(","))
}

/// How an operator's document becomes a plan: as a tree of our own, or translated into one.
pub type Reader = fn(&str) -> Result<CompiledConfig, Vec<ConfigError>>;

/// Thousandths as the number that they are.
fn milli(n: u64) -> String {
    let s = format!("{}.{:03}", n / 1000, n % 1000);
    s.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// A rate stands here with what `over` and `slack` add to it.
fn limit(l: Limit, m: Measure) -> String {
    let counted = match m {
        Measure::Calls => String::new(),
        Measure::Tokens { default_units: untold } => format!(",\"measure\":\"tokens\",\"untold\":{untold}"),
    };
    match l {
        Limit::Window(q) => format!("{{\"calls\":{},\"window_ms\":{}}}", q.calls, q.window / 1000),
        Limit::Rate(r) => {
            format!("{{\"rate\":{},\"burst\":{}{counted}}}", milli(r.milli_per_second), milli(r.burst_milli))
        }
        Limit::Unlimited => "\"none\"".to_owned(),
    }
}

impl CompiledConfig {
    /// The plan of a body that was judged before it was agreed.
    pub fn compile(version: u64, body: &str) -> CompiledConfig {
        CompiledConfig::parse_with(validate, version, body)
    }

    /// The same for a document that `r` reads.
    pub fn parse_with(r: Reader, version: u64, body: &str) -> CompiledConfig {
        let mut p = r(body).unwrap_or_default();
        p.version = version;
        p
    }
}
