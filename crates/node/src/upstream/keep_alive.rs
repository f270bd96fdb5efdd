//! What the headers of a response announce about the reuse of its connection.

use hyper::HeaderMap;
use sumacvale_core::base::{Micros, SEC};

/// What a response announces about its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeepAliveHints {
    /// The connection takes no request after this response.
    pub closes: bool,
    /// How long the worker keeps the connection open while it is idle.
    pub idle_timeout: Option<Micros>,
}

/// Returns the comma-separated options of all values of a header.
fn header_options<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}

impl KeepAliveHints {
    /// Reads the HTTP version, `Connection` and `Keep-Alive` of a response.
    pub fn from_headers(version: hyper::Version, headers: &HeaderMap) -> KeepAliveHints {
        let mut hints = KeepAliveHints {
            closes: version < hyper::Version::HTTP_11
                || header_options(headers, "connection").any(|option| option.eq_ignore_ascii_case("close")),
            idle_timeout: None,
        };
        for option in header_options(headers, "keep-alive") {
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

/// Returns how long an idle connection may be reused that the worker keeps open for `idle_timeout`: the request
/// must arrive before the worker closes the connection.
pub fn safe_idle_time(idle_timeout: Micros) -> Micros {
    if idle_timeout >= 2 * SEC { idle_timeout - SEC } else { idle_timeout / 2 }
}
