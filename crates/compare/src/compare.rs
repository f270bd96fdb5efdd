//! Compares two state reports.

use crate::state_report::StateReport;
use std::collections::BTreeMap;

/// A difference between the state reports of two nodes.
#[derive(Debug, PartialEq, Eq)]
pub struct Difference {
    /// The item that differs, such as `version` or `core` with a node id.
    pub subject: String,
    /// The value that the first node reports.
    pub first: String,
    /// The value that the second node reports.
    pub second: String,
    /// The likely cause, and what an operator can do.
    pub hint: &'static str,
}

/// Returns the differences between two state reports.
pub fn compare(first: &StateReport, second: &StateReport) -> Vec<Difference> {
    let mut differences = Vec::new();
    let is_stale = |report: &StateReport| report.member("fresh") != "true";
    let is_any_stale = is_stale(first) || is_stale(second);
    let mut compare_member = |name: &str, hint| {
        let (first_value, second_value) = (first.member(name), second.member(name));
        if first_value != second_value {
            differences.push(Difference { subject: name.into(), first: first_value, second: second_value, hint });
        }
    };
    compare_member("fleet", "the nodes belong to different fleets: check the seeds of both");
    let hint = if is_any_stale {
        "the node with the older version is not fresh and admits no calls: check its links to the cores"
    } else {
        "a version is being propagated: compare again in two seconds"
    };
    compare_member("version", hint);
    compare_member(
        "change",
        "one version holds two different changes, which must never happen: stop all changes and keep both data folders",
    );
    compare_member("fresh", "one node can't confirm its version and admits no calls: check its links to the cores");
    if first.member("change") == second.member("change") || first.version() != second.version() {
        differences.retain(|difference| difference.subject != "change" || first.version() == second.version());
    }
    compare_rows(
        &mut differences,
        "core",
        first.rows("cores", "id", "peer"),
        second.rows("cores", "id", "peer"),
        "the set of cores changed: the node with the older version has the older set",
    );
    compare_rows(
        &mut differences,
        "node alive",
        first.rows("nodes", "id", "alive"),
        second.rows("nodes", "id", "alive"),
        "the node just started, stopped or became unreachable: compare again in three seconds, then check its links",
    );
    compare_rows(
        &mut differences,
        "worker life",
        first.rows("workers", "id", "incarnation"),
        second.rows("workers", "id", "incarnation"),
        "the worker just started, stopped or drains: compare again in two seconds, then check which nodes it reports to",
    );
    compare_leases(&mut differences, first, second);
    report_common_keys(
        &mut differences,
        "granted window",
        first.rows("grants", "tenant", "window"),
        second.rows("grants", "tenant", "window"),
        "both nodes hold the quota of the tenant: one of the leases must be about to expire",
    );
    differences
}

/// Reports each key whose values differ or that only one node knows.
fn compare_rows(
    differences: &mut Vec<Difference>,
    subject: &str,
    first: BTreeMap<String, String>,
    second: BTreeMap<String, String>,
    hint: &'static str,
) {
    let mut keys: Vec<_> = first.keys().chain(second.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let value = |rows: &BTreeMap<String, String>| rows.get(key).cloned().unwrap_or_else(|| "not known".into());
        let (first_value, second_value) = (value(&first), value(&second));
        // Two nodes don't forget a stopped node at the same time.
        if first_value != second_value
            && !(subject == "node alive"
                && [first_value.as_str(), second_value.as_str()]
                    .iter()
                    .all(|value| ["false", "not known"].contains(value)))
        {
            differences.push(Difference {
                subject: format!("{subject} {key}"),
                first: first_value,
                second: second_value,
                hint,
            });
        }
    }
}

/// Reports each key that both nodes have.
fn report_common_keys(
    differences: &mut Vec<Difference>,
    subject: &str,
    first: BTreeMap<String, String>,
    second: BTreeMap<String, String>,
    hint: &'static str,
) {
    for (key, first_value) in first {
        if let Some(second_value) = second.get(&key) {
            differences.push(Difference {
                subject: format!("{subject} {key}"),
                first: first_value,
                second: second_value.clone(),
                hint,
            });
        }
    }
}

/// Reports each lease that both nodes claim to hold.
fn compare_leases(differences: &mut Vec<Difference>, first: &StateReport, second: &StateReport) {
    let (first_rows, second_rows) = (first.rows("terms", "duty", "epoch"), second.rows("terms", "duty", "epoch"));
    report_common_keys(
        differences,
        "term of duty",
        first_rows,
        second_rows,
        "both nodes hold the lease: one lease must be about to expire, and its messages are fenced; compare again in two seconds",
    );
}

#[cfg(test)]
mod tests {
    use super::compare;
    use crate::state_report::StateReport;

    /// A state report in which the text before each `=>` is replaced by the text after it.
    fn report_with(replacements: &str) -> StateReport {
        let base = r#""id":"a","fleet":"f","version":3,"change":"c","fresh":true,"cores":[],"nodes":[{"id":"n","alive":true}],"workers":[],"terms":[],"grants":[]"#;
        let mut text = format!("{{{base}}}");
        for replacement in replacements.split(';').filter(|part| !part.is_empty()) {
            let (from, to) = replacement.split_once("=>").expect("from=>to");
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        StateReport::read(text.as_bytes()).expect("reads")
    }

    #[test]
    fn differing_members_are_reported() {
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
        for (first, second, expected) in cases {
            let subjects: Vec<_> = compare(&report_with(first), &report_with(second))
                .into_iter()
                .map(|difference| difference.subject)
                .collect();
            assert_eq!(subjects, expected, "{first} against {second}");
        }
    }
}
