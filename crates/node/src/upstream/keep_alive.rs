//! What an answer tells of the connection that it came on.

use hyper::HeaderMap;
use sumacvale_core::base::{Micros, SEC};

/// What an answer says about its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeepAliveHints {
    /// It ends with this answer.
    pub closes: bool,
    /// How long the worker keeps it when idle.
    pub idle_timeout: Option<Micros>,
}

fn words<'a>(h: &'a HeaderMap, k: &str) -> impl Iterator<Item = &'a str> {
    h.get_all(k).into_iter().filter_map(|v| v.to_str().ok()).flat_map(|s| s.split(',')).map(str::trim)
}

impl KeepAliveHints {
    /// Reads the version, `Connection` and `Keep-Alive`.
    pub fn from_headers(v: hyper::Version, h: &HeaderMap) -> KeepAliveHints {
        let mut t = KeepAliveHints {
            closes: v < hyper::Version::HTTP_11 || words(h, "connection").any(|w| w.eq_ignore_ascii_case("close")),
            idle_timeout: None,
        };
        for w in words(h, "keep-alive") {
            let Some((k, v)) = w.split_once('=') else { continue };
            let Ok(n) = v.trim().trim_matches('"').parse::<u64>() else { continue };
            match k.trim().to_ascii_lowercase().as_str() {
                "timeout" => t.idle_timeout = Some(n.min(86_400) * SEC),
                "max" if n == 0 => t.closes = true,
                _ => {}
            }
        }
        t
    }
}

/// How long a connection is used that the worker keeps for `t`: what is sent must still reach it open.
pub fn safe_idle_time(t: Micros) -> Micros {
    if t >= 2 * SEC { t - SEC } else { t / 2 }
}
