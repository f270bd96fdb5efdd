use super::Plan;
use crate::config::check::judge;

/// The settings of one match or tenant with every inherited value written out.
pub fn effective(p: &Plan, sort: &str, name: &str) -> Option<String> {
    let q = |s: &str| sonic_rs::to_string(s).unwrap_or_default();
    match sort {
        "matches" => {
            let m = p.matches.get(name)?;
            Some(format!(
                "{{\"name\":{},\"method\":{},\"path\":{},\"pool\":{},\"kind\":{},\"wait_ms\":{},\"first_ms\":{},\"idle_ms\":{},\"max_body\":{},\"prompt\":{},\"prefix_chars\":{},\"repeat\":{},\"resume\":{},\"on_revoke\":{}}}",
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
                "{{\"name\":{},\"keys\":{n},\"quota\":{{\"calls\":{},\"window_ms\":{}}},\"weight\":{},\"matches\":{ms},\"on_revoke\":{r}}}",
                q(&t.name),
                t.quota.calls,
                t.quota.window / 1000,
                t.weight,
            ))
        }
        _ => None,
    }
}

impl Plan {
    /// The plan of a body that was judged before it was agreed.
    pub fn compile(ver: u64, body: &str) -> Plan {
        let mut p = judge(body).unwrap_or_default();
        p.ver = ver;
        p
    }
}
