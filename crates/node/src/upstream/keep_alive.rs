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
    pub fn from_headers(version: hyper::Version, headers: &HeaderMap) -> KeepAliveHints {
        let mut hints = KeepAliveHints {
            closes: version < hyper::Version::HTTP_11
                || words(headers, "connection").any(|option| option.eq_ignore_ascii_case("close")),
            idle_timeout: None,
        };
        for option in words(headers, "keep-alive") {
            let Some((name, value)) = option.split_once('=') else { continue };
            let Ok(number) = value.trim().trim_matches('"').parse::<u64>() else { continue };
            match name.trim().to_ascii_lowercase().as_str() {
                "timeout" => hints.idle_timeout = Some(number.min(86_400) * SEC),
                "max" if number == 0 => hints.closes = true,
                _ => {}
            }
        }
        hints
    }
}

/// How long a connection is used that the worker keeps for `t`: what is sent must still reach it open.
pub fn safe_idle_time(t: Micros) -> Micros {
    if t >= 2 * SEC { t - SEC } else { t / 2 }
}
