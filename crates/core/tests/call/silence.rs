//! Workers that are silent for a while and then continue: the call leaves none of them for nothing.

use super::fixture::*;
use sumacvale_core::call::ResponseEvent;

/// Longer than the time after which a stream of `/flow/x` is requested elsewhere, and far shorter than its `idle_ms`.
const SILENCE: Micros = 1_600 * MS;
const FIRST_EVENT: &str = "id: 0\ndata: a\n\n";
const SECOND_EVENT: &str = "id: 1\ndata: b\n\n";

/// Returns the script of a stream of `/flow/x` whose worker is silent after its first event, followed by `more`.
fn silent_after_first_event(more: Script) -> Script {
    let silent =
        vec![(ok_head(true, true), "forward head"), (chunk(FIRST_EVENT), "forward 15"), (Advance(SILENCE), "")];
    followed_by(until_sent_with("send window 1"), followed_by(silent, more))
}

/// Returns the script of a stream that another worker is requested to continue, followed by `more`.
fn requested_elsewhere(more: Script) -> Script {
    let requested = vec![(FundRetry, ""), (Deliver(Event::Wake), "suspend, connect elsewhere")];
    silent_after_first_event(followed_by(requested, more))
}

/// Returns the script of the end of the silent worker's stream.
fn silent_worker_finishes() -> Script {
    vec![(chunk(SECOND_EVENT), "forward 15"), (Deliver(Event::ResponseEnd), "finish")]
}

/// Runs each script with two workers and checks that its call has ended and holds no resources.
fn check_scripts(scripts: Vec<(&'static str, Script)>) {
    let case = |(name, script)| (name, "/flow/x", "key", 0, 2, script, 8);
    check_with_latency_target(scripts.into_iter().map(case).collect());
}

#[test]
fn a_stream_of_a_silent_worker_is_cut_as_no_retry_is_allowed() {
    let waits = vec![(Deliver(Event::Wake), "")];
    check_scripts(vec![("no budget", silent_after_first_event(followed_by(waits, silent_worker_finishes())))]);
}

/// Returns the script of another worker that fails by this event after its head.
fn headed_and(event: Event) -> Script {
    vec![(ok_head(true, true), ""), (Deliver(event), "close, restore")]
}

/// Returns the script of another worker that ends within its first event.
fn headed_and_partial() -> Script {
    vec![(ok_head(true, true), ""), (chunk("id: 1\nda"), ""), (Deliver(Event::ResponseEnd), "close, restore")]
}

#[test]
fn a_stream_of_a_silent_worker_is_cut_as_the_other_worker_fails() {
    let fails = |event, effects| vec![(Deliver(event), effects)];
    let sent = || vec![(Deliver(Event::Connected), "send after 0 window 1")];
    let ended_by = |last: Script| requested_elsewhere(followed_by(last, silent_worker_finishes()));
    let after_send = |last: Script| ended_by(followed_by(sent(), last));
    check_scripts(vec![
        ("no connection", ended_by(fails(Event::AttemptFailed(FailurePoint::Connect), "restore"))),
        ("no free connection", ended_by(fails(Event::AttemptFailed(FailurePoint::Declined), "restore"))),
        ("it declines", after_send(vec![(declined_head(503), "close, restore")])),
        ("its answer is no stream", after_send(vec![(status_head(404), "close, restore")])),
        ("it breaks off", after_send(fails(Event::AttemptFailed(FailurePoint::Sent), "restore"))),
        ("it is silent too", after_send(vec![(Advance(15 * SEC), ""), (Deliver(Event::Wake), "close, restore")])),
        ("it breaks off after its head", after_send(headed_and(Event::ResponseAborted))),
        ("it ends within its first event", after_send(headed_and_partial())),
        ("its events are invalid", after_send(headed_and(Event::ResponseChunk(Bytes::from("id: 7\ndata: z\n\n"))))),
        ("stale view", ended_by(vec![(ExpireView, ""), (Deliver(Event::Connected), "close, restore")])),
    ]);
}

#[test]
fn a_silent_worker_that_wakes_up_is_left_for_one_that_has_not_answered() {
    let sent = || vec![(Deliver(Event::Connected), "send after 0 window 1")];
    let headed = || followed_by(sent(), vec![(ok_head(true, true), "")]);
    let wakes_up = || {
        let chunk = ResponseEvent::Chunk(Bytes::from(SECOND_EVENT));
        let effects = "close, restore, forward 15";
        vec![(Deliver(Event::Suspended(chunk)), effects), (Deliver(Event::ResponseEnd), "finish")]
    };
    let ends = vec![(Deliver(Event::Suspended(ResponseEvent::End)), "close, restore, finish")];
    check_scripts(vec![
        ("while the connection is opened", requested_elsewhere(wakes_up())),
        ("before the head", requested_elsewhere(followed_by(sent(), wakes_up()))),
        ("before the first event", requested_elsewhere(followed_by(headed(), wakes_up()))),
        ("at its end", requested_elsewhere(ends)),
    ]);
}

/// Guards against a cut answer of a worker that was left for half an event of one that then breaks off.
#[test]
fn half_an_event_of_a_silent_worker_ends_no_other_attempt() {
    let half = |text: &str| ResponseEvent::Chunk(Bytes::from(text.to_owned()));
    let sends_half = || vec![(Deliver(Event::Suspended(half("id: 1\nda"))), "")];
    let other_continues = || {
        vec![
            (Deliver(Event::Connected), "send after 0 window 1"),
            (ok_head(true, true), ""),
            (chunk(SECOND_EVENT), "forward 15"),
            (Deliver(Event::ResponseEnd), "finish"),
        ]
    };
    let breaks = vec![(Deliver(Event::Suspended(ResponseEvent::Aborted)), "close suspended")];
    let is_invalid = vec![(Deliver(Event::Suspended(half("ta: b\n\nid: 0\ndata: a\n\n"))), "close suspended")];
    let sends_rest = vec![
        (Deliver(Event::Suspended(half("ta: b\n\n"))), "close, restore, forward 15"),
        (Deliver(Event::ResponseEnd), "finish"),
    ];
    let other_fails = vec![
        (Deliver(Event::AttemptFailed(FailurePoint::Connect)), "restore"),
        (chunk("ta: b\n\n"), "forward 15"),
        (Deliver(Event::ResponseEnd), "finish"),
    ];
    let after_half = |last: Script| requested_elsewhere(followed_by(sends_half(), last));
    check_scripts(vec![
        ("then it breaks off", after_half(followed_by(breaks, other_continues()))),
        ("then its events are invalid", after_half(followed_by(is_invalid, other_continues()))),
        ("then it sends the rest", after_half(sends_rest)),
        ("then the other fails", after_half(other_fails)),
    ]);
}

#[test]
fn a_silent_worker_that_breaks_off_ends_the_attempt_that_replaces_it() {
    let breaks = || vec![(Deliver(Event::Suspended(ResponseEvent::Aborted)), "close suspended")];
    let continued = vec![
        (Deliver(Event::Connected), "send after 0 window 1"),
        (ok_head(true, true), ""),
        (chunk(SECOND_EVENT), "forward 15"),
        (Deliver(Event::ResponseEnd), "finish"),
    ];
    let fails = vec![(Deliver(Event::AttemptFailed(FailurePoint::Connect)), "abort")];
    check_scripts(vec![
        ("the other continues", requested_elsewhere(followed_by(breaks(), continued))),
        ("the other fails as well", requested_elsewhere(followed_by(breaks(), fails))),
    ]);
}

#[test]
fn a_worker_that_is_silent_beyond_the_idle_time_out_holds_its_call() {
    let waits = vec![(Deliver(Event::Wake), ""), (Advance(7_300 * MS), ""), (Deliver(Event::Wake), "")];
    let is_left = vec![(Advance(200 * MS), ""), (Deliver(Event::Wake), "close, abort")];
    check_scripts(vec![("after 9 s", silent_after_first_event(followed_by(waits, is_left)))]);
}
