//! The responses of workers, event by event. They follow from the number and the path of the call alone, so that a
//! check can compute the expected body.

use sumacvale_core::base::{MS, Micros};

/// The shape of a response.
pub struct ResponseShape {
    /// The number of events in a stream; 0 for a single body.
    pub events: u64,
    /// The time between two events, in microseconds.
    pub event_interval: Micros,
}

/// The shape of the response to a path.
pub fn shape(path: &str) -> ResponseShape {
    let (events, event_interval) = match path {
        "/v1/draft" => (40, 12 * MS),
        "/v1/chat" => (10, 8 * MS),
        "/v1/summary" => (3, 60 * MS),
        _ => (0, 4 * MS),
    };
    ResponseShape { events, event_interval }
}

/// The text of one event of a stream, numbered from 0.
pub fn event_text(call: u64, number: u64, events: u64) -> String {
    format!("id: {number}\ndata: call {call} piece {number} of {events}\n\n")
}

/// The body of a complete response, beginning with the event `first_event`.
pub fn body(call: u64, path: &str, first_event: u64) -> String {
    match shape(path).events {
        0 => format!("call {call} done"),
        events => (first_event..events).map(|number| event_text(call, number, events)).collect(),
    }
}
