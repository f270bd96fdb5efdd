//! The responses of workers, piece by piece; they follow from the call's number and path alone, so that a
//! checker can tell the expected body.

use sumacvale_core::base::{MS, Micros};

/// How many pieces the stream of a path has, 0 for a single body, and how many microseconds lie between pieces.
pub fn shape(path: &str) -> (u64, Micros) {
    match path {
        "/v1/draft" => (40, 12 * MS),
        "/v1/chat" => (10, 8 * MS),
        "/v1/summary" => (3, 60 * MS),
        _ => (0, 4 * MS),
    }
}

/// The text of one piece of a stream, numbered from 0.
pub fn piece(call: u64, number: u64, pieces: u64) -> String {
    format!("id: {number}\ndata: call {call} piece {number} of {pieces}\n\n")
}

/// The body of a complete response, from a piece on.
pub fn body(call: u64, path: &str, first_piece: u64) -> String {
    match shape(path).0 {
        0 => format!("call {call} done"),
        pieces => (first_piece..pieces).map(|number| piece(call, number, pieces)).collect(),
    }
}
