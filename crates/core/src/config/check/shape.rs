//! The shape of a document: whether it is JSON, and neither too large nor too deep.

use super::ConfigError;
use sonic_rs::{JsonValueTrait, LazyValue};

const DEEP: usize = 16;
const LARGE: usize = 4 << 20;

/// What must hold of any body before its meaning is looked at.
pub fn shape(s: &str) -> Vec<ConfigError> {
    shape_max(s, LARGE)
}

/// The same where a document may have so many bytes.
pub fn shape_max(s: &str, most: usize) -> Vec<ConfigError> {
    if s.len() > most {
        return vec![ConfigError::TooLarge { at: String::new(), is: s.len(), most }];
    }
    if depth(s.as_bytes()) > DEEP {
        return vec![ConfigError::TooDeep { at: String::new(), most: DEEP }];
    }
    if let Err(e) = sonic_rs::from_str::<sonic_rs::Value>(s) {
        let t = e.to_string();
        return vec![ConfigError::NotJson(t.lines().next().unwrap_or("unreadable").to_owned())];
    }
    let mut out = Vec::new();
    if let Ok(v) = sonic_rs::from_str::<LazyValue>(s) {
        twins(v.as_raw_str(), "", &mut out);
    }
    out
}

fn depth(b: &[u8]) -> usize {
    let (mut d, mut max, mut quoted, mut esc) = (0usize, 0, false, false);
    for c in b {
        match (quoted, *c) {
            (true, _) if esc => esc = false,
            (true, b'\\') => esc = true,
            (true, b'"') => quoted = false,
            (false, b'"') => quoted = true,
            (false, b'{' | b'[') => {
                d += 1;
                max = max.max(d);
            }
            (false, b'}' | b']') => d = d.saturating_sub(1),
            _ => {}
        }
    }
    max
}

fn twins(s: &str, at: &str, out: &mut Vec<ConfigError>) {
    match s.trim_start().as_bytes().first() {
        Some(b'{') => {
            let mut seen = std::collections::BTreeSet::new();
            for (k, v) in sonic_rs::to_object_iter(s).flatten() {
                let p = format!("{at}/{}", esc(&k));
                if !seen.insert(k.to_string()) {
                    out.push(ConfigError::Twice { at: p.clone() });
                }
                twins(v.as_raw_str(), &p, out);
            }
        }
        Some(b'[') => {
            for (i, v) in sonic_rs::to_array_iter(s).flatten().enumerate() {
                if v.is_object() || v.is_array() {
                    twins(v.as_raw_str(), &format!("{at}/{i}"), out);
                }
            }
        }
        _ => {}
    }
}

/// One name as it stands in a JSON pointer.
pub fn esc(s: &str) -> String {
    s.replace('~', "~0").replace('/', "~1")
}
