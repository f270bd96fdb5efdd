//! The reasons of rejected calls: their counters, and the log line that is written at most once a second.

use std::sync::Arc;
use sumacvale_core::base::{MS, Micros, SEC, sha256_hex};
use sumacvale_core::call::{
    CallMachine, Effect, Event, RejectionCounters, RejectionLog, RejectionReason, RequestHead, SharedCallState,
    StepContext, ThreadCaches,
};
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::node::View;
use sumacvale_core::quota::TenantQuotas;

const NOW: Micros = 100 * SEC;

fn config() -> Arc<CompiledConfig> {
    let key = sha256_hex(b"key");
    let document = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{\"chat\":{{\"path\":\"/chat\",\"pool\":\"p\",\"kind\":\"chat\"}}}},\
         \"tenants\":{{\"t\":{{\"keys\":[\"sha256:{key}\"]}}}}}}"
    );
    Arc::new(CompiledConfig::compile(1, &document))
}

/// Returns the reason of the local response of a node with this view, and the counters that increased.
fn reject(view: View, key: &str, path: &str, body: &str) -> (Option<RejectionReason>, Vec<(RejectionReason, u64)>) {
    let shared = SharedCallState::new("z", 8, 1 << 20, Arc::new(TenantQuotas::default()));
    let view = Arc::new(view);
    let head =
        RequestHead { method: "POST".into(), path: path.into(), api_key: Some(key.into()), ..RequestHead::default() };
    let mut machine = CallMachine::new(1, head, view.clone(), NOW);
    let (mut thread_caches, mut reason) = (ThreadCaches::default(), None);
    for event in [Event::Wake, Event::RequestBody(Ok(body.to_owned().into())), Event::DroppedFromQueue(SEC)] {
        let clock = || NOW;
        let mut context =
            StepContext { shared: &shared, thread_caches: &mut thread_caches, view: &view, now: NOW, clock: &clock };
        for effect in machine.step(event, &mut context) {
            if let Effect::Respond(response) = effect {
                assert_eq!((response.status, response.code), (response.reason.status(), response.reason.code()));
                reason = Some(response.reason);
            }
        }
    }
    let counts = RejectionReason::ALL.iter().map(|reason| (*reason, shared.rejections.get(*reason)));
    let counts = counts.filter(|(_, count)| *count > 0).collect();
    (reason, counts)
}

#[test]
fn a_rejection_is_counted_under_its_reason_and_no_other() {
    let fresh = View { version: Some(1), confirmed_at: Some(NOW), config: config(), ..View::default() };
    let stale = View { confirmed_at: Some(NOW - 5 * SEC), ..fresh.clone() };
    let unconfigured = View { version: None, confirmed_at: None, ..fresh.clone() };
    let body = "{\"prompt\":\"good day\"}";
    for (view, key, path, body, expected) in [
        (&unconfigured, "key", "/chat", body, RejectionReason::NoConfiguration),
        (&stale, "key", "/chat", body, RejectionReason::StaleView),
        (&fresh, "other", "/chat", body, RejectionReason::InvalidKey),
        (&fresh, "key", "/other", body, RejectionReason::NoMatch),
        (&fresh, "key", "/chat", "no JSON", RejectionReason::InvalidBody),
        (&fresh, "key", "/chat", body, RejectionReason::QuotaHolderUnreachable),
    ] {
        assert_eq!(reject(view.clone(), key, path, body), (Some(expected), vec![(expected, 1)]));
    }
}

#[test]
fn the_log_has_counts_by_reason_once_a_second_while_calls_are_rejected() {
    let (rejections, mut log) = (RejectionCounters::default(), RejectionLog::default());
    assert_eq!(log.poll_line(&rejections, NOW), None, "nothing was rejected");
    for _ in 0..3 {
        rejections.add(RejectionReason::StaleView);
    }
    rejections.add(RejectionReason::SlotsExhausted);
    assert_eq!(log.poll_line(&rejections, NOW + 999 * MS), None, "less than a second later");
    assert_eq!(log.poll_line(&rejections, NOW + SEC).as_deref(), Some("old_stamp=3 full=1"));
    rejections.add(RejectionReason::SlotsExhausted);
    assert_eq!(log.poll_line(&rejections, NOW + 2 * SEC).as_deref(), Some("full=1"), "only what was added");
    assert_eq!(log.poll_line(&rejections, NOW + 3 * SEC), None, "nothing was rejected since");
}
