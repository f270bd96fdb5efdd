use crate::state_report::StateReport;
use std::collections::BTreeMap;

/// One thing that two nodes see differently.
#[derive(Debug, PartialEq, Eq)]
pub struct Differs {
    pub what: String,
    pub a: String,
    pub b: String,
    pub why: &'static str,
}

pub fn compare(a: &StateReport, b: &StateReport) -> Vec<Differs> {
    let mut out = Vec::new();
    let stale = |x: &StateReport| x.one("fresh") != "true";
    let late = stale(a) || stale(b);
    let mut one = |k: &str, why| {
        let (x, y) = (a.one(k), b.one(k));
        if x != y {
            out.push(Differs { what: k.into(), a: x, b: y, why });
        }
    };
    one("fleet", "they belong to different fleets: look at the seeds of both");
    let why = if late {
        "the older one is not fresh and admits nothing: look at its links to the cores"
    } else {
        "a version is on its way: ask again in two seconds"
    };
    one("version", why);
    one("change", "the same number with another change must never be: stop changing and keep both data folders");
    one("fresh", "one can't confirm its version and admits nothing: look at its links to the cores");
    if a.one("change") == b.one("change") || a.version() != b.version() {
        out.retain(|d| d.what != "change" || a.version() == b.version());
    }
    lists(
        &mut out,
        "core",
        a.rows("cores", "id", "peer"),
        b.rows("cores", "id", "peer"),
        "the set changed: the older version has the older set",
    );
    lists(
        &mut out,
        "node alive",
        a.rows("nodes", "id", "alive"),
        b.rows("nodes", "id", "alive"),
        "just started, ended or cut off: ask again in three seconds, then look at the links of that node",
    );
    lists(
        &mut out,
        "worker life",
        a.rows("workers", "id", "incarnation"),
        b.rows("workers", "id", "incarnation"),
        "just came, went or drains: ask again in two seconds, then see whom it reports to",
    );
    terms(&mut out, a, b);
    lists_both(
        &mut out,
        "granted window",
        a.rows("grants", "tenant", "window"),
        b.rows("grants", "tenant", "window"),
        "both hold the tenant's quota: one of the terms must be about to end",
    );
    out
}

fn lists(
    out: &mut Vec<Differs>,
    what: &str,
    a: BTreeMap<String, String>,
    b: BTreeMap<String, String>,
    why: &'static str,
) {
    let mut ks: Vec<_> = a.keys().chain(b.keys()).collect();
    ks.sort();
    ks.dedup();
    for k in ks {
        let get = |m: &BTreeMap<String, String>| m.get(k).cloned().unwrap_or_else(|| "not known".into());
        let (x, y) = (get(&a), get(&b));
        // A node that ended long ago is forgotten sooner here than there.
        if x != y
            && !(what == "node alive" && [x.as_str(), y.as_str()].iter().all(|s| ["false", "not known"].contains(s)))
        {
            out.push(Differs { what: format!("{what} {k}"), a: x, b: y, why });
        }
    }
}

fn lists_both(
    out: &mut Vec<Differs>,
    what: &str,
    a: BTreeMap<String, String>,
    b: BTreeMap<String, String>,
    why: &'static str,
) {
    for (k, x) in a {
        if let Some(y) = b.get(&k) {
            out.push(Differs { what: format!("{what} {k}"), a: x, b: y.clone(), why });
        }
    }
}

/// A duty has one holder: two that both claim it are told.
fn terms(out: &mut Vec<Differs>, a: &StateReport, b: &StateReport) {
    let (x, y) = (a.rows("terms", "duty", "epoch"), b.rows("terms", "duty", "epoch"));
    lists_both(
        out,
        "term of duty",
        x,
        y,
        "both claim it: one must be about to end, its messages are fenced; ask again in two seconds",
    );
}

#[cfg(test)]
mod tests {
    use super::compare;
    use crate::state_report::StateReport;

    fn of(more: &str) -> StateReport {
        let base = r#""id":"a","fleet":"f","version":3,"change":"c","fresh":true,"cores":[],"nodes":[{"id":"n","alive":true}],"workers":[],"terms":[],"grants":[]"#;
        let mut s = format!("{{{base}}}");
        for kv in more.split(';').filter(|x| !x.is_empty()) {
            let (from, to) = kv.split_once("=>").expect("from=>to");
            assert!(s.contains(from), "{from}");
            s = s.replace(from, to);
        }
        StateReport::read(s.as_bytes()).expect("reads")
    }

    #[test]
    fn what_differs_is_told_with_its_reason() {
        let cases = [
            ("", "", vec![]),
            (r#""version":3=>"version":4"#, "", vec!["version"]),
            (r#""version":3=>"version":4;"change":"c"=>"change":"d""#, "", vec!["version"]),
            (r#""change":"c"=>"change":"d""#, "", vec!["change"]),
            (r#""fleet":"f"=>"fleet":"g""#, "", vec!["fleet"]),
            (r#""fresh":true=>"fresh":false"#, "", vec!["fresh"]),
            (r#""alive":true=>"alive":false"#, "", vec!["node alive n"]),
            (r#""workers":[]=>"workers":[{"id":"w","incarnation":1}]"#, "", vec!["worker life w"]),
            (r#""terms":[]=>"terms":[{"duty":1,"epoch":4}]"#, "", vec![]),
            (
                r#""terms":[]=>"terms":[{"duty":1,"epoch":4}]"#,
                r#""terms":[]=>"terms":[{"duty":1,"epoch":5}]"#,
                vec!["term of duty 1"],
            ),
        ];
        for (a, b, want) in cases {
            let got: Vec<_> = compare(&of(a), &of(b)).into_iter().map(|d| d.what).collect();
            assert_eq!(got, want, "{a} against {b}");
        }
    }
}
