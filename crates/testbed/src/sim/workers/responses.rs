//! What workers answer, piece by piece: known from the call's number and path alone.

use sumacvale_core::base::{MS, Micros};

/// How many pieces a response has, and how far they are apart.
pub fn shape(path: &str) -> (u64, Micros) {
    match path {
        "/v1/draft" => (40, 12 * MS),
        "/v1/chat" => (10, 8 * MS),
        "/v1/summary" => (3, 60 * MS),
        _ => (0, 4 * MS),
    }
}

pub fn piece(call: u64, k: u64, of: u64) -> String {
    format!("id: {k}\ndata: call {call} piece {k} of {of}\n\n")
}

/// The whole body of a good response, from a piece on.
pub fn body(call: u64, path: &str, from: u64) -> String {
    match shape(path).0 {
        0 => format!("call {call} done"),
        of => (from..of).map(|k| piece(call, k, of)).collect(),
    }
}
