//! Both deployments as processes, with a configuration change, a key revocation, a drain, kills and a
//! graceful stop under traffic. The checks compare what clients saw with the logs of the workers.

use std::time::{Duration, Instant};
use sumacvale_testbed::fleet::{FleetSpec, Revocation, check_invariants, run_scenario};
use sumacvale_testbed::standin::{ClientObservation, ClientRecord, WorkerRun};

const SECONDS: u64 = 16;
const SEED: u64 = 1;
const SCALE_PERCENT: u64 = 50;

/// Runs a scenario with faults and asserts that no invariant was violated.
fn run_without_findings(spec: FleetSpec) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().expect("threads");
    let outcome =
        runtime.block_on(run_scenario(spec, SECONDS, SEED, true, SCALE_PERCENT)).expect("a complete scenario");
    outcome.print();
    assert!(outcome.records.len() > 300, "{} calls", outcome.records.len());
    assert!(outcome.findings.is_empty(), "{:#?}", outcome.findings);
}

#[test]
fn mtatsminda_has_no_findings_under_faults() {
    run_without_findings(FleetSpec::MTATSMINDA);
}

#[test]
fn derwent_has_no_findings_under_faults() {
    run_without_findings(FleetSpec::DERWENT);
}

fn run_of(call: &str, path: &str, started_at: Instant) -> WorkerRun {
    WorkerRun {
        call_id: call.into(),
        tenant: "t".into(),
        path: path.into(),
        prefix: String::new(),
        worker: "w".into(),
        zone: "z".into(),
        started_at,
        last_event_id: None,
        quota_window: 1,
        draining_since: None,
    }
}

fn record_of(call: &str, observation: ClientObservation, sent_at: Instant) -> ClientRecord {
    ClientRecord {
        call_id: call.into(),
        kind: "chat",
        tenant: "t".into(),
        front: String::new(),
        sent_at,
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
        retry_after_ms: 0,
        observation,
    }
}

fn refused_as_not_run(status: u16, has_retry_after: bool) -> ClientObservation {
    ClientObservation::Rejected { status, code: "x".into(), ran: "no".into(), has_retry_after }
}

/// Records of clients and workers, and the finding that the checks must report for them.
struct Case {
    name: &'static str,
    records: Vec<ClientRecord>,
    runs: Vec<WorkerRun>,
    revocation: Option<Revocation>,
    /// A part of the expected finding; no finding is expected if it is empty.
    finding: &'static str,
}

/// Guards against checks that pass because they detect nothing: each case violates one invariant, or none.
#[test]
fn every_violated_invariant_is_a_finding() {
    let now = Instant::now();
    let run = |call: &str, path: &str| run_of(call, path, now);
    let saw = |observation| vec![record_of("a", observation, now + Duration::from_secs(9))];
    let case = |name, records, runs, finding| Case { name, records, runs, revocation: None, finding };
    let chat = || vec![run("a", "/v1/chat")];
    let draining_since = now.checked_sub(Duration::from_secs(3));
    let violation = ClientObservation::Violation("piece 3".into());
    let cases = [
        case("complete and run once", saw(ClientObservation::Complete), chat(), ""),
        case("run twice", vec![], vec![run("a", "/v1/book"), run("a", "/v1/book")], "ran 2 times"),
        case("run twice and safe to repeat", vec![], vec![run("a", "/v1/confirm"), run("a", "/v1/confirm")], ""),
        case("run but rejected as not run", saw(refused_as_not_run(503, true)), chat(), "refused as not run"),
        case("complete but not run", saw(ClientObservation::Complete), vec![], "that no worker ran"),
        case("no time to retry", saw(refused_as_not_run(429, false)), vec![], "without a time to return"),
        case("violation", saw(violation), vec![], "piece 3"),
        Case {
            revocation: Some(Revocation { tenant: "t".into(), acknowledged_at: now }),
            ..case("revoked", saw(ClientObservation::Complete), chat(), "after its key was withdrawn")
        },
        case("stream started twice", vec![], vec![run("a", "/v1/draft"), run("a", "/v1/draft")], "begun twice"),
        case("draining", vec![], vec![WorkerRun { draining_since, ..run("a", "/v1/chat") }], "began to drain"),
        case(
            "quota",
            vec![],
            (0..300).map(|number| run(&format!("{number}"), "/v1/chat")).collect(),
            "of 120 calls ran",
        ),
    ];
    for Case { name, records, runs, revocation, finding } in cases {
        let findings = check_invariants(&records, &runs, revocation.as_ref());
        if finding.is_empty() {
            assert!(findings.is_empty(), "{name}: {findings:?}");
        } else {
            assert!(findings.iter().any(|found| found.0.contains(finding)), "{name}: {findings:?}");
        }
    }
}
