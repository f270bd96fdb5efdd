//! Calls that wait for a quota unit or a slot, and the resources that they release.

use super::fixture::*;
use std::sync::Arc;
use sumacvale_core::base::sha256_hex;
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::protocol::ShareGrant;
use sumacvale_core::quota::AcquireOutcome;

#[test]
fn a_call_that_waited_releases_what_it_held() {
    check(vec![
        (
            "the window ends while connecting, the next one has units",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Advance(1_100 * MS), ""),
                (GrantUnits(2), ""),
                (Deliver(Event::Connected), "send window 2"),
                (Deliver(Event::ClientDisconnected), ""),
            ],
            4,
        ),
        (
            "the window ends while connecting, the next one is unknown",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Advance(1_100 * MS), ""),
                (Deliver(Event::Connected), "close, request units"),
                (AnswerQuota(2), "connect again"),
                (Deliver(Event::Connected), "send window 2"),
                (Deliver(Event::ClientDisconnected), ""),
            ],
            4,
        ),
        (
            "the key is revoked while the call waits for a unit",
            "/chat",
            2,
            4,
            0,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "request units"),
                (Deliver(Event::Wake), ""),
                (RevokeKey, ""),
                (Deliver(Event::Wake), "401 key no"),
            ],
            0,
        ),
        (
            "no answer of the lease holder",
            "/chat",
            2,
            4,
            0,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "request units"),
                (Advance(1_400 * MS), ""),
                (Deliver(Event::Wake), ""),
                (Advance(100 * MS), ""),
                (Deliver(Event::Wake), "503 quota_unsettled no"),
            ],
            0,
        ),
        (
            "the window is spent",
            "/chat",
            2,
            4,
            0,
            vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "request units"), (AnswerQuota(0), "429 quota no")],
            0,
        ),
        (
            "no worker: nothing to wait for",
            "/chat",
            0,
            4,
            9,
            vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "503 no_worker no")],
            9,
        ),
        (
            "the client disconnects before the call was sent",
            "/chat",
            2,
            4,
            9,
            vec![
                (Deliver(Event::Wake), "read body"),
                (DeliverBody, "connect"),
                (Deliver(Event::ClientDisconnected), ""),
            ],
            9,
        ),
        (
            "the client disconnects after the call was sent",
            "/chat",
            2,
            4,
            9,
            after_send(vec![(Deliver(Event::ClientDisconnected), "")]),
            8,
        ),
    ]);
}

#[test]
fn a_call_that_waits_for_a_slot_is_woken_in_turn() {
    let mut call = CallFixture::new("/chat", 1, 1, 9);
    run("first", &mut call, until_sent());
    let first = call.next_call(2, "/chat");
    assert_eq!(call.step(Event::Wake), "read body");
    assert_eq!(call.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}")))), "", "it waits");
    assert_eq!(call.holdings(), Holdings::new(1, (1, 0), 7));
    // The first call ends, which assigns its slot to the second one.
    let second = std::mem::replace(&mut call.machine, first);
    let endpoint = call.last_endpoint.clone().expect("a slot");
    assert_eq!(call.step(Event::ClientDisconnected), "wake 2");
    assert_eq!(call.holdings(), Holdings::new(1, (0, 0), 7), "the slot is assigned to the second call");
    // The second call was cancelled before the event arrived: the slot and the unit are free again.
    call.machine = second;
    assert_eq!(call.step(Event::ClientDisconnected), "");
    assert_eq!(call.step(Event::SlotAssigned(endpoint)), "");
    assert_eq!(call.holdings(), Holdings::new(0, (0, 0), 8));
}

/// Creates a first call that holds the only slot, and a second call that waits for the slot.
fn one_call_waiting() -> (CallFixture, CallMachine) {
    let mut call = CallFixture::new("/chat", 1, 1, 2);
    run("first", &mut call, until_sent());
    let first = call.next_call(2, "/chat");
    run("second", &mut call, vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "request units")]);
    assert_eq!(call.holdings(), Holdings::new(1, (1, 0), 0), "it waits");
    (call, first)
}

#[test]
fn a_unit_is_recalled_from_a_call_that_waits_for_a_slot() {
    let recall = |call: &CallFixture| call.shared.slices.return_idle_units("t", 1, call.now);
    let (mut call, first) = one_call_waiting();
    assert_eq!(recall(&call), Some(1), "the unit of the call that waits, not of the one that was sent");
    assert_eq!(recall(&call), Some(1), "once");
    // The first call ends: the second call is assigned the slot, but has no unit.
    let second = std::mem::replace(&mut call.machine, first);
    let endpoint = call.last_endpoint.clone().expect("a slot");
    assert_eq!(call.step(Event::ClientDisconnected), "wake 2");
    call.machine = second;
    run("no unit", &mut call, vec![(Deliver(Event::SlotAssigned(endpoint.clone())), "request units")]);
    assert_eq!(call.holdings(), Holdings::new(0, (0, 1), 0), "the slot is free for others while it waits for a unit");
    run(
        "a unit",
        &mut call,
        vec![
            (AnswerQuota(2), "connect again"),
            (Deliver(Event::Connected), "send window 2"),
            (Deliver(Event::ClientDisconnected), ""),
        ],
    );

    let (mut call, first) = one_call_waiting();
    recall(&call);
    call.shared.slices.add_granted("t", 1, 4, START + SEC);
    let second = std::mem::replace(&mut call.machine, first);
    assert_eq!(call.step(Event::ClientDisconnected), "wake 2");
    call.machine = second;
    run(
        "another unit",
        &mut call,
        vec![(Deliver(Event::SlotAssigned(endpoint)), "connect again"), (Deliver(Event::Connected), "send window 1")],
    );
    assert_eq!(call.holdings().free_units, 1);

    let (mut call, _first) = one_call_waiting();
    recall(&call);
    assert_eq!(call.step(Event::ClientDisconnected), "");
    assert_eq!(call.holdings().free_units, 0, "a recalled unit is not refunded as well");
}

#[test]
fn a_client_that_disconnects_while_waiting_for_a_slot_refunds_its_unit() {
    let (mut call, _first) = one_call_waiting();
    assert_eq!(call.step(Event::ClientDisconnected), "");
    assert_eq!(call.holdings().free_units, 1);
    assert_eq!(call.shared.slices.return_idle_units("t", 1, call.now), Some(1));
}

#[test]
fn a_full_queue_wakes_the_call_that_it_displaces() {
    // Eight drafts wait for a unit when a lookup arrives, whose kind has a higher weight.
    let mut call = CallFixture::new("/draft", 1, 1, 0);
    let mut machines = Vec::new();
    for id in 1..=9 {
        let path = if id == 9 { "/confirm" } else { "/draft" };
        machines.push(call.next_call(id, path));
        assert_eq!(call.step(Event::Wake), "read body");
        let effects = call.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}"))));
        assert_eq!(effects, if id == 9 { "wake 8, request units" } else { "request units" }, "{id}");
    }
    assert_eq!(call.holdings().waiting, (0, 8));
}

/// Creates the fixture's configuration with this quota of the tenant.
fn config_with_quota(version: u64, quota: &str) -> Arc<CompiledConfig> {
    let document = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{\"chat\":{{\"path\":\"/chat\",\"pool\":\"p\",\"kind\":\"chat\"}}}},\
         \"tenants\":{{\"t\":{{\"keys\":[\"sha256:{}\"],\"quota\":{quota}}}}}}}",
        sha256_hex(b"key")
    );
    let compiled = CompiledConfig::compile(version, &document);
    assert!(!compiled.tenants.is_empty(), "{document}");
    Arc::new(compiled)
}

#[test]
fn a_call_that_a_full_queue_for_a_rate_displaces_gets_no_answer() {
    let mut call = CallFixture::new("/draft", 1, 1, 0);
    let matches = ["draft", "lookup"]
        .map(|kind| format!("\"{kind}\":{{\"path\":\"/{kind}\",\"pool\":\"p\",\"kind\":\"{kind}\"}}"));
    let document = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{{}}},\"tenants\":{{\"t\":{{\"keys\":[\"sha256:{}\"],\"quota\":{QUOTA_IN_CALLS}}}}}}}",
        matches.join(","),
        sha256_hex(b"key")
    );
    let config = Arc::new(CompiledConfig::compile(1, &document));
    call.shared.slices.rates.apply_config(&config, START);
    call.update_view(|view| view.config = config);
    grant_rate_units(&call, 1, 1);
    assert!(matches!(call.shared.slices.acquire_units("t", 1, START), AcquireOutcome::Acquired { .. }));
    let body = || Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}")));
    // Eight drafts wait for units when a lookup arrives, whose kind has a higher weight.
    let mut drafts = Vec::new();
    for id in 1..=8 {
        let _ = call.next_call(id, "/draft");
        assert_eq!((call.step(Event::Wake), call.step(body())), ("read body".into(), "request units".into()), "{id}");
        drafts.push(call.next_call(0, "/draft"));
    }
    let _ = call.next_call(9, "/lookup");
    call.step(Event::Wake);
    let displaced = call.effects(body()).into_iter().find_map(|effect| match effect {
        Effect::WakeCall(Wakeup { call_id: 8, event, .. }) => Some(event),
        _ => None,
    });
    call.machine = drafts.pop().expect("eight drafts");
    assert_eq!(call.step(displaced.expect("an event for the displaced call")), "429 quota no");
}

const QUOTA_IN_CALLS: &str = r#"{"rate":100,"burst":1000}"#;
const QUOTA_IN_TOKENS: &str = r#"{"rate":100,"burst":1000,"measure":"tokens","untold":70}"#;

/// Grants the node `units` units of the rate in force.
fn grant_rate_units(call: &CallFixture, request_id: u64, units: u32) {
    let rates = &call.shared.slices.rates;
    rates.make_request("t", request_id, u64::from(units), call.now).expect("it has a rate");
    let grant = ShareGrant { granted: true, share: 0, burst_milli: 0, loaned_units: units };
    assert!(rates.apply_grant("t", request_id, grant, call.now, call.now));
}

/// Guards against a call that uses the number of units of an old measure. A newer configuration changes the measure
/// from calls to tokens or back while the call waits for units. The call notices the change when it is granted too
/// few units, or when the new configuration wakes it.
#[test]
fn a_call_that_waits_takes_the_units_of_the_measure_in_force() {
    for (name, before, after, first_units, more_units) in [
        ("from calls to tokens", QUOTA_IN_CALLS, QUOTA_IN_TOKENS, 69, 70),
        ("from tokens to calls", QUOTA_IN_TOKENS, QUOTA_IN_CALLS, 0, 1),
    ] {
        let old_config = config_with_quota(1, before);
        let mut call = CallFixture::with_config("/chat", 1, 4, 0, old_config.clone());
        call.shared.slices.rates.apply_config(&old_config, START);
        run(name, &mut call, vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "request units")]);
        let new_config = config_with_quota(2, after);
        call.shared.slices.rates.apply_config(&new_config, START);
        call.update_view(|view| (view.version, view.config) = (Some(2), new_config.clone()));
        if first_units == 0 {
            run(name, &mut call, vec![(Deliver(Event::Wake), "request units")]);
        } else {
            grant_rate_units(&call, 1, first_units);
            let wakeups = call.shared.serve_quota_queue("t", call.now);
            let effects: Vec<_> = wakeups.into_iter().map(|wakeup| call.step(wakeup.event)).collect();
            assert!(!effects.iter().any(|effect| effect.contains("connect")), "{name}: too few units: {effects:?}");
        }
        grant_rate_units(&call, 2, more_units);
        let wakeups = call.shared.serve_quota_queue("t", call.now);
        let effects: Vec<_> = wakeups.into_iter().map(|wakeup| call.step(wakeup.event)).collect();
        assert_eq!(effects, ["connect"], "{name}");
        let left = call.shared.slices.rates.acquire_for_waiter("t", 1, call.now);
        assert!(!matches!(left, Some(AcquireOutcome::Acquired { .. })), "{name}: all units were taken: {left:?}");
    }
}

/// Guards against counting a waiting call as new demand each time that the queue is served.
#[test]
fn a_call_that_waits_counts_once_in_the_demand_for_a_window() {
    let mut call = CallFixture::new("/chat", 1, 4, 0);
    run("it waits", &mut call, vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "request units")]);
    let (first_wanted, ..) = call.shared.slices.demand("t", 1, call.now);
    for _ in 0..20 {
        assert!(call.shared.serve_quota_queue("t", call.now).is_empty());
    }
    let (wanted, ..) = call.shared.slices.demand("t", 1, call.now);
    assert_eq!(wanted, first_wanted);
}

/// Guards against rejecting calls early in an outage of the lease holder: a call that arrives after others have waited
/// for more than a second is queued too, whatever its deadline, as a successor may answer at any moment.
#[test]
fn a_call_that_arrives_late_in_an_outage_of_the_lease_holder_waits_for_its_answer() {
    let mut call = CallFixture::new("/chat", 1, 4, 0);
    let waits = || vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "request units")];
    run("the first call", &mut call, waits());
    for (id, time) in [(2, 1_000 * MS), (3, 600 * MS)] {
        call.advance(time);
        call.next_call(id, "/chat");
        run("a later call", &mut call, waits());
    }
    assert_eq!(call.holdings().waiting, (0, 3));
    // The fixture delivers the wakeups of all three calls to the last call, which uses the first of them.
    run("the answer", &mut call, vec![(AnswerQuota(1), "connect")]);
    assert_eq!(call.holdings().waiting, (0, 0), "each call was granted a unit");
}
