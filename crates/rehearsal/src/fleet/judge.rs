use super::traffic::{QUOTA, WINDOW_MS, unsafe_path};
use crate::standin::{Outcome, Ran, Seen};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding(pub String);

/// Judges what downstreams saw against what workers logged.
pub fn judge(seen: &[Outcome], ran: &[Ran], revoked: Option<(&str, Instant)>) -> Vec<Finding> {
    let mut out = Vec::new();
    let mut by: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    for r in ran {
        by.entry(&r.call).or_default().push(r);
    }
    for o in seen {
        let rs = by.get(o.call.as_str()).map_or(&[][..], Vec::as_slice);
        match &o.seen {
            Seen::Wrong(w) => out.push(Finding(w.clone())),
            Seen::Whole if rs.is_empty() => out.push(Finding(format!("{}: a success that no worker ran", o.call))),
            Seen::Refused { ran, code, status, .. } if ran == "no" && !rs.is_empty() => {
                out.push(Finding(format!(
                    "{}: refused as not run ({status} {code}) and ran {} times",
                    o.call,
                    rs.len()
                )));
            }
            Seen::Refused { status: 429 | 503, back: false, code, .. } => {
                out.push(Finding(format!("{}: refused ({code}) without a time to return", o.call)));
            }
            Seen::None if rs.is_empty() => {}
            _ => {}
        }
        if let Some((t, at)) = revoked
            && o.tenant == t
            && o.seen == Seen::Whole
            && o.at > at + Duration::from_secs(5)
        {
            out.push(Finding(format!("{}: served for {t} more than 5 s after its key was withdrawn", o.call)));
        }
    }
    for (c, rs) in &by {
        if unsafe_path(&rs[0].path) && rs.len() > 1 {
            out.push(Finding(format!("{c}: not safe to repeat and ran {} times", rs.len())));
        }
        let mut from: Vec<_> = rs.iter().map(|r| r.from).collect();
        from.sort_unstable();
        from.dedup();
        if rs[0].path == "/v1/draft" && from.len() != rs.len() {
            out.push(Finding(format!("{c}: a stream was begun twice at the same piece")));
        }
    }
    for r in ran {
        if let Some(d) = r.drained
            && r.from.is_none()
            && r.at > d + Duration::from_secs(2)
        {
            out.push(Finding(format!("{}: sent to {} over 2 s after it began to drain", r.call, r.worker)));
        }
    }
    quota(ran, &mut out);
    out
}

fn quota(ran: &[Ran], out: &mut Vec<Finding>) {
    let mut by: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    let mut first: BTreeMap<&str, ()> = BTreeMap::new();
    for r in ran {
        if first.insert(&r.call, ()).is_none() {
            by.entry(&r.tenant).or_default().push(r.at);
        }
    }
    let w = Duration::from_millis(WINDOW_MS);
    for (t, mut at) in by {
        at.sort_unstable();
        // Two windows touch any window's length.
        let mut i = 0;
        for j in 0..at.len() {
            while at[j] - at[i] >= w {
                i += 1;
            }
            if (j - i + 1) as u64 > 2 * QUOTA {
                out.push(Finding(format!("{t}: more than two quotas ran within one window's length")));
                break;
            }
        }
    }
}
