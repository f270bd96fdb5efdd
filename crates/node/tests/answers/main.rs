//! Every case of a worker's response, for each kind of route and each stage of a call. No client receives the
//! response to another call or a made-up success, no call that must not be retried runs twice, and no rejected
//! call has run. A client and workers on plain sockets, with the front of a node between them.

mod front;
mod ways;
mod worker;

use front::{Client, ClientResponse, Front, LENIENT_ADAPTER, LONG_TIMEOUT_MS, SEALED_ADAPTER, SHORT_TIMEOUT_MS};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_node::protocol_adapter::ProtocolAdapter;
use ways::{Case, Request, body};
use worker::{Arrival, Script, Trigger};

type Res<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// The stage of a call in which the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStage {
    /// The first attempt, on a new connection.
    NewConnection,
    /// The first attempt, on a connection that served an earlier call.
    ReusedConnection,
    /// The second attempt, after the first worker refused the call.
    Retry,
    /// The second attempt, which resumes a stream that was cut.
    Resumption,
}

impl CallStage {
    const ALL: [CallStage; 4] =
        [CallStage::NewConnection, CallStage::ReusedConnection, CallStage::Retry, CallStage::Resumption];

    /// Returns the cases of the responses that lead to this stage.
    fn preceding_cases(self) -> &'static [Case] {
        match self {
            CallStage::NewConnection => &[],
            CallStage::ReusedConnection => &[Case::Whole],
            CallStage::Retry => &[Case::Refused503],
            CallStage::Resumption => &[Case::CutBetweenChunks],
        }
    }
}

/// The kinds of routes in the configuration of the front.
const ROUTE_KINDS: [&str; 4] = ["safe", "unsafe", "stream", "resume"];

/// A prompt size that exceeds the socket buffers between the front and a worker, in bytes.
const LARGE_PROMPT_BYTES: usize = 8_000_000;

/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks the invariants of a call, which hold in every case.
fn check_invariants(
    kind: &str,
    call_id: &str,
    response: Option<&ClientResponse>,
    arrivals: &[Arrival],
) -> Result<(), String> {
    let runs = arrivals.iter().filter(|arrival| arrival.ran).count();
    let is_repeatable = matches!(kind, "safe" | "resume");
    let max_attempts = if kind == "resume" { 3 } else { 2 };
    let check =
        |holds: bool, fault: &str| if holds { Ok(()) } else { Err(format!("{fault}: {response:?} {arrivals:?}")) };
    check(is_repeatable || runs <= 1, "a call that must not be repeated ran twice")?;
    check(arrivals.len() <= max_attempts, "more attempts than the route allows")?;
    let Some(received) = response else { return Ok(()) };
    check(received.call_id == call_id, "the response names another call")?;
    check(!NOT_RUN_STATUSES.contains(&received.status) || runs == 0, "a rejected call ran")?;
    check(received.status >= 200 && received.status != 304, "the status is not one of a call")?;
    if (200..300).contains(&received.status) {
        let request = Request { id: call_id.into(), path: format!("/{kind}/x"), ..Request::default() };
        let expected_body = body(&request).concat();
        check(received.is_sealed, "a success without a seal")?;
        check(expected_body.starts_with(&received.body), "a success with another body")?;
        check(!received.is_complete || received.body == expected_body, "a truncated body that looks complete")?;
        check(
            !received.is_complete || arrivals.iter().any(|arrival| arrival.is_success),
            "a success that no worker sent",
        )?;
    }
    Ok(())
}

/// Summarizes a call as in the matrix: the status or where the response broke off, then the number of runs and the
/// number of attempts.
fn summarize(response: Option<&ClientResponse>, arrivals: &[Arrival]) -> String {
    let outcome = match response {
        None => "closed".to_owned(),
        Some(received) if received.is_complete => {
            format!("{}{}", received.status, if received.is_sealed { "" } else { " ours" })
        }
        Some(received) => format!("{} cut", received.status),
    };
    format!("{outcome} {}/{}", arrivals.iter().filter(|arrival| arrival.ran).count(), arrivals.len())
}

/// Two stub workers, a front and a client.
struct Fixture {
    script: Arc<Script>,
    trigger: Trigger,
    front: Front,
    client: Client,
}

impl Fixture {
    async fn new(adapter: &'static ProtocolAdapter) -> Res<Fixture> {
        let (script, trigger) = Script::new();
        let front = Front::start(adapter, &[worker::start(&script)?, worker::start(&script)?]).await?;
        let client = front.client().await?;
        front.fill_retry_budget();
        Ok(Fixture { script, trigger, front, client })
    }

    /// Makes one call, checks its invariants and returns its summary.
    async fn call(&mut self, kind: &str, call_id: &str, prompt_bytes: usize) -> Res<String> {
        let limit = Duration::from_secs(10);
        let response =
            tokio::time::timeout(limit, self.client.call(&format!("/{kind}/x"), call_id, prompt_bytes)).await??;
        let arrivals = self.script.arrivals_of(call_id);
        check_invariants(kind, call_id, response.as_ref(), &arrivals)?;
        Ok(summarize(response.as_ref(), &arrivals))
    }
}

/// Returns the summary for one cell of the matrix, after it has checked the calls before and after.
async fn run_cell(case: Case, kind: &str, stage: CallStage) -> Res<String> {
    let mut fixture = Fixture::new(&SEALED_ADAPTER).await?;
    fixture.script.enqueue(stage.preceding_cases());
    if stage == CallStage::ReusedConnection {
        let first = fixture.call(kind, "first", 1).await?;
        assert_eq!(first, "200 1/1");
    }
    fixture.script.enqueue(&[case]);
    fixture.front.publish_view(2, if case.is_silent() { SHORT_TIMEOUT_MS } else { LONG_TIMEOUT_MS });
    let summary = fixture.call(kind, "second", if case.needs_large_request() { LARGE_PROMPT_BYTES } else { 1 }).await?;
    if case.has_delayed_action() {
        fixture.trigger.fire()?;
    }
    // Bytes that are left on a connection reach no later call: the next calls get their own responses.
    fixture.front.publish_view(3, LONG_TIMEOUT_MS);
    for call_id in ["third", "fourth"] {
        let next = fixture.call(kind, call_id, 1).await?;
        if next != "200 1/1" {
            return Err(format!("the later call {call_id}: {next}").into());
        }
    }
    let unknown_ids = fixture.script.unknown_ids(&["first", "second", "third", "fourth"]);
    assert!(unknown_ids.is_empty(), "{unknown_ids:?}");
    Ok(summary)
}

/// Runs a cell in a thread of its own, as a thread's caches outlive a front.
fn run_cell_in_thread(case: Case, kind: &str, stage: CallStage) -> Result<String, String> {
    let run = || -> Res<String> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let summary = runtime.block_on(run_cell(case, kind, stage));
        runtime.shutdown_background();
        summary
    };
    let result = std::thread::scope(|scope| scope.spawn(|| run().map_err(|e| e.to_string())).join());
    result.unwrap_or_else(|_| Err("an assertion of the test itself failed".into()))
}

/// Returns one line of the matrix and the invariants that were violated.
fn matrix_line(case: Case, kind: &str) -> (String, Vec<String>) {
    let (mut cells, mut faults) = (Vec::new(), Vec::new());
    for stage in CallStage::ALL.into_iter().filter(|stage| *stage != CallStage::Resumption || kind == "resume") {
        match run_cell_in_thread(case, kind, stage) {
            Ok(_) if case.is_racy() => cells.push("as the kernel likes".into()),
            Ok(summary) => cells.push(summary),
            Err(e) => {
                faults.push(format!("{case:?} {kind} {stage:?}: {e}"));
                cells.push("FAULT".into());
            }
        }
    }
    (format!("{case:?} {kind}: {}", cells.join("; ")), faults)
}

/// The expected summaries, one line for each case and kind of route.
const EXPECTED: &str = include_str!("matrix.txt");

/// Each cell of the matrix scripts one response case at one stage of a call, then makes two more calls. The
/// summaries must equal `matrix.txt`.
#[test]
fn every_response_case_keeps_the_invariants_of_a_call() -> Res {
    let (mut matrix, mut faults) = (String::new(), Vec::new());
    let columns: Vec<_> = std::thread::scope(|scope| {
        let threads = ROUTE_KINDS
            .map(|kind| scope.spawn(move || Case::ALL.iter().map(|case| matrix_line(*case, kind)).collect::<Vec<_>>()));
        threads.into_iter().map(|thread| thread.join().expect("a kind of route")).collect()
    });
    for index in 0..Case::ALL.len() {
        for (line, line_faults) in columns.iter().map(|column| &column[index]) {
            writeln!(matrix, "{line}")?;
            faults.extend(line_faults.clone());
        }
    }
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    let differences: Vec<_> =
        matrix.lines().zip(EXPECTED.lines()).filter(|(actual, expected)| actual != expected).collect();
    assert!(matrix == EXPECTED, "{differences:#?}\n{matrix}");
    Ok(())
}

/// Where workers need not name the request, a refusal without a name may belong to an earlier request. The call must
/// then not be reported as not run.
#[test]
fn an_anonymous_refusal_does_not_count_as_not_run() -> Res {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut fixture = Fixture::new(&LENIENT_ADAPTER).await?;
        fixture.script.enqueue(&[Case::NamelessRefusalFirst]);
        assert_eq!(fixture.call("unsafe", "first", 1).await?, "502 ours 1/1");
        Ok(())
    })
}
