//! Workers that are silent for a while and then continue: the call leaves none of them for nothing.

use super::fixture::*;

/// Longer than the idle time-out of the match `/flow/x`, and far shorter than its `idle_ms`.
const SILENCE: Micros = 1_600 * MS;
const FIRST_EVENT: &str = "id: 0\ndata: a\n\n";
const SECOND_EVENT: &str = "id: 1\ndata: b\n\n";

/// Returns the script of a stream of `/flow/x` whose worker is silent after its first event.
fn silent_after_first_event(more: Script) -> Script {
    let silent =
        vec![(ok_head(true, true), "forward head"), (chunk(FIRST_EVENT), "forward 15"), (Advance(SILENCE), "")];
    followed_by(until_sent_with("send window 1"), followed_by(silent, more))
}

#[test]
fn a_stream_of_a_silent_worker_is_cut_as_no_retry_is_allowed() {
    check_with_latency_target(vec![(
        "no budget",
        "/flow/x",
        "key",
        0,
        2,
        silent_after_first_event(vec![
            (Deliver(Event::Wake), ""),
            (chunk(SECOND_EVENT), "forward 15"),
            (Deliver(Event::ResponseEnd), "finish"),
        ]),
        8,
    )]);
}
