//! What is in force for one name, with all that it inherits.

use super::{Limit, Measure, Plan};
use crate::config::check::{Trouble, judge};

/// The settings of one match or tenant with every inherited value written out.
pub fn effective(p: &Plan, sort: &str, name: &str) -> Option<String> {
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
                m.wait / 1000,
                m.first / 1000,
                m.idle / 1000,
                m.max_body,
                q(&format!("/{}", m.prompt.join("/"))),
                m.prefix,
                m.repeat,
                m.resume,
                q(super::super::check::revoke_name(m.on_revoke)),
                opt(m.host.as_deref().map(q)),
                opt(m.under.as_deref().map(q)),
                split(&m.split),
                m.aim / 1000,
                m.gap / 1000,
                m.tries,
                opt(m.urgency.map(|u| u.to_string())),
                m.open,
                m.parts,
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
pub type Reader = fn(&str) -> Result<Plan, Vec<Trouble>>;

/// Thousandths as the number that they are.
fn milli(n: u64) -> String {
    let s = format!("{}.{:03}", n / 1000, n % 1000);
    s.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// A rate stands here with what `over` and `slack` add to it.
fn limit(l: Limit, m: Measure) -> String {
    let counted = match m {
        Measure::Calls => String::new(),
        Measure::Tokens { untold } => format!(",\"measure\":\"tokens\",\"untold\":{untold}"),
    };
    match l {
        Limit::Window(q) => format!("{{\"calls\":{},\"window_ms\":{}}}", q.calls, q.window / 1000),
        Limit::Rate(r) => format!("{{\"rate\":{},\"burst\":{}{counted}}}", milli(r.milli), milli(r.burst)),
        Limit::Unlimited => "\"none\"".to_owned(),
    }
}

impl Plan {
    /// The plan of a body that was judged before it was agreed.
    pub fn compile(version: u64, body: &str) -> Plan {
        Plan::read(judge, version, body)
    }

    /// The same for a document that `r` reads.
    pub fn read(r: Reader, version: u64, body: &str) -> Plan {
        let mut p = r(body).unwrap_or_default();
        p.version = version;
        p
    }
}
