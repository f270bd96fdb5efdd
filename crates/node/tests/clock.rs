//! Steps of the time of day: the wall clock of this process jumps, and the clock by which the core is
//! stepped doesn't.

use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Change, ChangeOutcome, LogEntry, Voter};
use sumacvale_node::clock;

/// Seconds that are added to the time of day.
static WALL_CLOCK_OFFSET: AtomicI64 = AtomicI64::new(0);
/// How often the time of day was read.
static WALL_CLOCK_READS: AtomicU64 = AtomicU64::new(0);
/// Serializes the tests of this file, which step the same clock.
static CLOCK_LOCK: Mutex<()> = Mutex::new(());

/// Replaces the function of the C library: returns the real clocks, with the time of day moved by
/// `WALL_CLOCK_OFFSET`.
#[unsafe(no_mangle)]
extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> libc::c_int {
    // SAFETY: the arguments are passed unchanged to the system call, which checks them.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if result == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        WALL_CLOCK_READS.fetch_add(1, Ordering::SeqCst);
        // SAFETY: the system call succeeded, so `time` is valid and initialized.
        unsafe { (*time).tv_sec += WALL_CLOCK_OFFSET.load(Ordering::SeqCst) };
    }
    libc::c_int::try_from(result).unwrap_or(-1)
}

/// The seconds from one time of day to another; negative if the second one is earlier.
fn seconds_between(from: SystemTime, to: SystemTime) -> i64 {
    let seconds = |d: Duration| i64::try_from(d.as_secs()).unwrap_or(i64::MAX);
    to.duration_since(from).map_or_else(|e| -seconds(e.duration()), seconds)
}

/// Maximum time of a few clock reads on a busy machine, in microseconds; far below each step.
const MAX_READ_TIME: Micros = 20 * SEC;
/// Steps of the time of day in seconds.
const STEPS: [i64; 4] = [60, -60, 3_600, -86_400];

#[test]
fn a_step_of_the_time_of_day_moves_neither_the_clock_nor_timers() {
    let _guard = CLOCK_LOCK.lock();
    for step in STEPS {
        WALL_CLOCK_OFFSET.store(0, Ordering::SeqCst);
        let (wall_time, process_time, timer_start) = (SystemTime::now(), clock::now(), Instant::now());
        WALL_CLOCK_OFFSET.store(step, Ordering::SeqCst);
        let jump = seconds_between(wall_time, SystemTime::now());
        assert!((jump - step).abs() < 20, "the time of day jumped by {jump} s instead of {step} s");
        let elapsed = clock::now().checked_sub(process_time).expect("the clock never goes back");
        assert!(elapsed < MAX_READ_TIME, "the clock moved by {elapsed} us as the time of day jumped by {step} s");
        assert!(timer_start.elapsed() < Duration::from_micros(MAX_READ_TIME), "timers moved as the time of day jumped");
    }
    WALL_CLOCK_OFFSET.store(0, Ordering::SeqCst);
}

/// The core of a fleet with one core, which commits a change once its own vote is synced.
fn single_core(now: Micros) -> Node {
    let settings = NodeSettings {
        config_reader: sumacvale_core::config::validate,
        may_bootstrap: true,
        manages_voters: false,
        tolerated_losses: 1,
        node_id: NodeId(1),
        incarnation: 1,
        addr: "10.0.0.1:7000".into(),
        admin_addr: String::new(),
        zone: "z0".into(),
        seeds: vec!["10.0.0.1:7000".into()],
        is_core: true,
        report_interval: 500 * MS,
        workers_report_to_cores_only: false,
    };
    let voters = vec![Voter { node_id: NodeId(1), addr: settings.addr.clone() }];
    let entry = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: vec![],
        voters,
        body: "{}".into(),
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let mut state = DurableState { node_id: NodeId(1), ready_set: Some(0), ..DurableState::default() };
    state.entries.insert(0, entry);
    Node::new(settings, &state, 1, now)
}

fn step(node: &mut Node, event: Event, outcomes: &mut Vec<ChangeOutcome>) {
    for effect in node.step(event, clock::now()) {
        match effect {
            Effect::Write { token, .. } => step(node, Event::Synced(token), outcomes),
            Effect::CompleteChange { outcome, .. } => outcomes.push(outcome),
            _ => {}
        }
    }
}

/// The core reads no clock itself: the caller passes the time, here that of the real clock.
#[test]
fn a_core_stays_fresh_and_commits_changes_through_steps_of_the_time_of_day() {
    let _guard = CLOCK_LOCK.lock();
    WALL_CLOCK_OFFSET.store(0, Ordering::SeqCst);
    let mut node = single_core(clock::now());
    let mut outcomes = Vec::new();
    let started_at = Instant::now();
    while !node.is_fresh(clock::now()) {
        step(&mut node, Event::Tick, &mut outcomes);
        std::thread::yield_now();
        assert!(started_at.elapsed() < Duration::from_mins(1), "the core never became fresh");
    }
    let reads_before = WALL_CLOCK_READS.load(Ordering::SeqCst);
    for (index, seconds) in STEPS.into_iter().enumerate() {
        WALL_CLOCK_OFFSET.store(seconds, Ordering::SeqCst);
        step(&mut node, Event::Tick, &mut outcomes);
        assert!(node.is_fresh(clock::now()), "not fresh after a step of {seconds} s");
        let version = index as u64 + 1;
        let body = format!("{{\"pools\":{{\"p{version}\":{{}}}}}}");
        let base = version - 1;
        let change_id = ChangeId(100 + version);
        step(
            &mut node,
            Event::SubmitChange {
                request_id: version,
                change_id,
                is_first_send: true,
                base,
                change: Change::Tree(body),
            },
            &mut outcomes,
        );
        let submitted_at = Instant::now();
        while outcomes.len() < index + 1 {
            step(&mut node, Event::Tick, &mut outcomes);
            std::thread::yield_now();
            assert!(submitted_at.elapsed() < Duration::from_mins(1), "no outcome after a step of {seconds} s");
        }
        assert_eq!(outcomes[index], ChangeOutcome::Committed { version }, "after a step of {seconds} s");
    }
    assert_eq!(
        WALL_CLOCK_READS.load(Ordering::SeqCst),
        reads_before,
        "nothing in the core or its time source read the time of day"
    );
    WALL_CLOCK_OFFSET.store(0, Ordering::SeqCst);
}
