//! Steps of the time of day, as the program's time source meets them: the wall clock of this
//! process jumps, and the clock that the core is stepped with doesn't.

use std::sync::Mutex;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Change, ChangeOutcome, LogEntry, Voter};
use sumacvale_node::clock;

/// By how many seconds the time of day is off, and how often it was read.
static STEP: AtomicI64 = AtomicI64::new(0);
static READS: AtomicU64 = AtomicU64::new(0);
/// The tests of this file step one and the same clock.
static ONE: Mutex<()> = Mutex::new(());

/// In the place of the C library's: the real clocks, but for the time of day, which `STEP` sets.
#[unsafe(no_mangle)]
extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> libc::c_int {
    // SAFETY: the caller's arguments go to the system call as they are, which checks them.
    let r = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) };
    if r == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        READS.fetch_add(1, Ordering::SeqCst);
        // SAFETY: the system call has just written there.
        unsafe { (*to).tv_sec += STEP.load(Ordering::SeqCst) };
    }
    libc::c_int::try_from(r).unwrap_or(-1)
}

fn between(a: SystemTime, b: SystemTime) -> i64 {
    let seconds = |d: Duration| i64::try_from(d.as_secs()).unwrap_or(i64::MAX);
    b.duration_since(a).map_or_else(|e| -seconds(e.duration()), seconds)
}

/// Far below each step, and far above what a few reads take on a busy machine.
const MOMENT: Micros = 20 * SEC;
const STEPS: [i64; 4] = [60, -60, 3_600, -86_400];

#[test]
fn a_step_of_the_time_of_day_moves_no_clock_of_the_program() {
    let _one = ONE.lock();
    for step in STEPS {
        STEP.store(0, Ordering::SeqCst);
        let (wall, program, timers) = (SystemTime::now(), clock::now(), Instant::now());
        STEP.store(step, Ordering::SeqCst);
        let jump = between(wall, SystemTime::now());
        assert!((jump - step).abs() < 20, "the time of day jumped by {jump} s in the place of {step}");
        let passed = clock::now().checked_sub(program).expect("the program's clock never goes back");
        assert!(passed < MOMENT, "the program's clock moved by {passed} us as the time of day jumped by {step} s");
        assert!(timers.elapsed() < Duration::from_micros(MOMENT), "timers moved as the time of day jumped");
    }
    STEP.store(0, Ordering::SeqCst);
}

/// A fleet of one core: each order needs its own vote, synced and counted.
fn lone_core(now: Micros) -> Node {
    let me = NodeSettings {
        config_reader: sumacvale_core::config::validate,
        may_bootstrap: true,
        manages_voters: false,
        tolerated_losses: 1,
        node_id: NodeId(1),
        incarnation: 1,
        addr: "10.0.0.1:7000".into(),
        admin: String::new(),
        zone: "z0".into(),
        seeds: vec!["10.0.0.1:7000".into()],
        is_core: true,
        report_interval: 500 * MS,
        reports_to_cores_only: false,
    };
    let cores = vec![Voter { node_id: NodeId(1), addr: me.addr.clone() }];
    let decree = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: vec![],
        voters: cores,
        body: "{}".into(),
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let mut kept = DurableState { node_id: NodeId(1), ready_set: Some(0), ..DurableState::default() };
    kept.entries.insert(0, decree);
    Node::new(me, &kept, 1, now)
}

fn step(node: &mut Node, event: Event, fates: &mut Vec<ChangeOutcome>) {
    for effect in node.step(event, clock::now()) {
        match effect {
            Effect::Write { token, .. } => step(node, Event::Synced(token), fates),
            Effect::CompleteChange { outcome: fate, .. } => fates.push(fate),
            _ => {}
        }
    }
}

/// The core itself reads no clock at all: it is given the program's, here the real one.
#[test]
fn a_core_on_the_programs_clock_stays_fresh_and_takes_orders_through_steps_of_the_time_of_day() {
    let _one = ONE.lock();
    STEP.store(0, Ordering::SeqCst);
    let mut node = lone_core(clock::now());
    let mut fates = Vec::new();
    let begin = Instant::now();
    while !node.is_fresh(clock::now()) {
        step(&mut node, Event::Tick, &mut fates);
        std::thread::yield_now();
        assert!(begin.elapsed() < Duration::from_mins(1), "it never became fresh");
    }
    let reads = READS.load(Ordering::SeqCst);
    for (n, seconds) in STEPS.into_iter().enumerate() {
        STEP.store(seconds, Ordering::SeqCst);
        step(&mut node, Event::Tick, &mut fates);
        assert!(node.is_fresh(clock::now()), "not fresh after a step of {seconds} s");
        let order = n as u64 + 1;
        let body = format!("{{\"pools\":{{\"p{order}\":{{}}}}}}");
        let base = order - 1;
        let change_id = ChangeId(100 + order);
        step(
            &mut node,
            Event::SubmitChange { request_id: order, change_id, is_first_send: true, base, change: Change::Tree(body) },
            &mut fates,
        );
        let waits = Instant::now();
        while fates.len() < n + 1 {
            step(&mut node, Event::Tick, &mut fates);
            std::thread::yield_now();
            assert!(waits.elapsed() < Duration::from_mins(1), "no answer after a step of {seconds} s");
        }
        assert_eq!(fates[n], ChangeOutcome::Committed { version: order }, "after a step of {seconds} s");
    }
    assert_eq!(READS.load(Ordering::SeqCst), reads, "nothing in the core or its time source read the time of day");
    STEP.store(0, Ordering::SeqCst);
}
