//! Each refusal has a reason that is counted and, while it lasts, told once a second.

use std::sync::Arc;
use sumacvale_core::base::{MS, Micros, SEC, sha256_hex};
use sumacvale_core::call::{
    CallMachine, Effect, Event, RejectionCounters, RejectionLog, RejectionReason, RequestHead, SharedCallState,
    StepContext, ThreadCaches,
};
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::node::View;
use sumacvale_core::quota::WindowSlices;

const NOW: Micros = 100 * SEC;

fn plan() -> Arc<CompiledConfig> {
    let key = sha256_hex(b"key");
    let text = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{\"chat\":{{\"path\":\"/chat\",\"pool\":\"p\",\"kind\":\"chat\"}}}},\
         \"tenants\":{{\"t\":{{\"keys\":[\"sha256:{key}\"]}}}}}}"
    );
    Arc::new(CompiledConfig::compile(1, &text))
}

/// What a call with this key and path is answered by a node with this view.
fn refused(view: View, key: &str, path: &str, body: &str) -> (Option<RejectionReason>, Vec<(RejectionReason, u64)>) {
    let floor = SharedCallState::new("z", 8, 1 << 20, Arc::new(WindowSlices::default()));
    let view = Arc::new(view);
    let head =
        RequestHead { method: "POST".into(), path: path.into(), api_key: Some(key.into()), ..RequestHead::default() };
    let mut life = CallMachine::new(1, head, view.clone(), NOW);
    let (mut own, mut reason) = (ThreadCaches::default(), None);
    for event in [Event::Wake, Event::RequestBody(Ok(body.to_owned().into())), Event::DroppedFromQueue(SEC)] {
        let clock = || NOW;
        let mut cx = StepContext { shared: &floor, thread_caches: &mut own, view: &view, now: NOW, clock: &clock };
        for effect in life.step(event, &mut cx) {
            if let Effect::Respond(answer) = effect {
                assert_eq!((answer.status, answer.code), (answer.reason.status(), answer.reason.code()));
                reason = Some(answer.reason);
            }
        }
    }
    let counts = RejectionReason::ALL.iter().map(|r| (*r, floor.rejections.get(*r))).filter(|x| x.1 > 0).collect();
    (reason, counts)
}

#[test]
fn a_refusal_is_counted_under_its_reason_and_no_other() {
    let good = View { version: Some(1), confirmed_at: Some(NOW), config: plan(), ..View::default() };
    let old = View { confirmed_at: Some(NOW - 5 * SEC), ..good.clone() };
    let none = View { version: None, confirmed_at: None, ..good.clone() };
    let body = "{\"prompt\":\"good day\"}";
    for (view, key, path, body, want) in [
        (&none, "key", "/chat", body, RejectionReason::NoConfiguration),
        (&old, "key", "/chat", body, RejectionReason::OldStamp),
        (&good, "other", "/chat", body, RejectionReason::Key),
        (&good, "key", "/other", body, RejectionReason::NoMatch),
        (&good, "key", "/chat", "no JSON", RejectionReason::Body),
        (&good, "key", "/chat", body, RejectionReason::QuotaUnsettled),
    ] {
        assert_eq!(refused(view.clone(), key, path, body), (Some(want), vec![(want, 1)]));
    }
}

#[test]
fn the_log_tells_counts_by_reason_once_a_second_while_calls_are_refused() {
    let (refusals, mut log) = (RejectionCounters::default(), RejectionLog::default());
    assert_eq!(log.line(&refusals, NOW), None, "nothing was refused");
    for _ in 0..3 {
        refusals.add(RejectionReason::OldStamp);
    }
    refusals.add(RejectionReason::Full);
    assert_eq!(log.line(&refusals, NOW + 999 * MS), None, "not a second later");
    assert_eq!(log.line(&refusals, NOW + SEC).as_deref(), Some("old_stamp=3 full=1"));
    refusals.add(RejectionReason::Full);
    assert_eq!(log.line(&refusals, NOW + 2 * SEC).as_deref(), Some("full=1"), "only what is new");
    assert_eq!(log.line(&refusals, NOW + 3 * SEC), None, "it is over");
}
