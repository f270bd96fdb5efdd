//! Tests of the retry budget over whole fleets: many processes, each with its own budget, in virtual time.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::retry::{RetryBudget, RetryLimits};
use sumacvale_testbed::retry_allowance::{RetryAllowance, RetryRecord};

/// The services, with the requests that each process gets for them in a second.
const SERVICES: [(&str, u64); 2] = [("model", 12), ("application", 3)];
/// The length of a run, in microseconds.
const RUN: Micros = 60 * SEC;
/// The length of a step, in microseconds.
const STEP: Micros = 10 * MS;
/// The longest time from the decision for a retry to its arrival at a prompt process, in microseconds.
const PROMPT_DELAY: Micros = 300 * MS;
/// The share of attempts that fail at a failing service, in percent.
const FAILING_PERCENT: u64 = 90;

/// The faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    /// Workers fail, traffic jumps and drops; processes are stopped and started.
    Prompt,
    /// Beside these, processes stand still or are cut off, so that their retries arrive late.
    Late,
}

/// One process of the fleet.
struct Process {
    budget: RetryBudget,
    /// The process is stopped, and starts again then.
    starts_at: Micros,
    /// The process stands still, or its requests are held up, until then.
    held_until: Micros,
}

impl Process {
    /// A process that knows the number of nodes, if there is one, and the slack of their retries.
    fn new(slack: u32, nodes: Option<usize>) -> Self {
        let budget = RetryBudget::new(RetryLimits { slack, ..RetryLimits::default() });
        if let Some(nodes) = nodes {
            budget.set_node_count(nodes);
        }
        Process { budget, starts_at: 0, held_until: 0 }
    }

    fn record_first_attempt(&self, service: &str, now: Micros) {
        self.budget.record_first_attempt(service, now);
    }

    fn withdraw(&self, service: &str, now: Micros) -> bool {
        self.budget.withdraw(service, now)
    }
}

/// A fleet in virtual time.
struct Fleet {
    rng: Rng,
    processes: Vec<Process>,
    slack: u32,
    nodes: Option<usize>,
    record: RetryRecord,
    requests: u64,
    /// Until when each service fails.
    failing_until: BTreeMap<&'static str, Micros>,
    /// The traffic in percent of the usual, and until when.
    load: (u64, Micros),
}

impl Fleet {
    fn new(size: usize, seed: u64, slack: u32, nodes: Option<usize>) -> Self {
        let processes = (0..size).map(|_| Process::new(slack, nodes)).collect();
        let (rng, record) = (Rng::new(seed), RetryRecord::default());
        Fleet { rng, processes, slack, nodes, record, requests: 0, failing_until: BTreeMap::new(), load: (100, 0) }
    }

    /// Begins faults: workers fail for seconds every few seconds, and so on.
    fn inject(&mut self, faults: Faults, now: Micros) {
        let mut happens_every = |interval: Micros| self.rng.next_below(interval / STEP) == 0;
        let (fails, jumps) = (happens_every(9 * SEC), happens_every(7 * SEC));
        let (restarts, holds) = (happens_every(3 * SEC), faults == Faults::Late && happens_every(4 * SEC));
        if fails {
            let service = SERVICES[self.rng.next_below(2) as usize].0;
            self.failing_until.insert(service, now + SEC + self.rng.next_below(12 * SEC));
        }
        if jumps {
            self.load = (20 + self.rng.next_below(300), now + SEC + self.rng.next_below(6 * SEC));
        }
        for (happens, is_restart) in [(restarts, true), (holds, false)] {
            if !happens {
                continue;
            }
            let share = 1 + self.rng.next_below(60);
            for index in 0..self.processes.len() {
                if self.rng.chance_percent(share) {
                    let until = now + self.rng.next_below(5 * SEC);
                    match is_restart {
                        true => {
                            self.processes[index] = Process { starts_at: until, ..Process::new(self.slack, self.nodes) }
                        }
                        false => self.processes[index].held_until = until,
                    }
                }
            }
        }
    }

    /// Makes one request through a process that runs, with a retry if its first attempt fails and the budget pays.
    fn request(&mut self, service: &'static str, index: usize, now: Micros) {
        self.requests += 1;
        let request = self.requests;
        self.record.request_sent(service, now);
        let process = &self.processes[index];
        process.record_first_attempt(service, now);
        let held_until = process.held_until;
        let first_at = held_until.max(now + MS);
        self.record.request_arrived(service, request, first_at);
        let is_failing = self.failing_until.get(service).is_some_and(|until| *until > now);
        if is_failing && self.rng.chance_percent(FAILING_PERCENT) && self.processes[index].withdraw(service, now) {
            let retry_at = held_until.max(now + MS + self.rng.next_below(PROMPT_DELAY));
            self.record.request_arrived(service, request, retry_at);
        }
    }

    fn run(mut self, faults: Faults) -> RetryRecord {
        let mut now = SEC;
        while now < RUN {
            now += STEP;
            self.inject(faults, now);
            let load = if self.load.1 > now { self.load.0 } else { 100 };
            for index in 0..self.processes.len() {
                for (service, per_second) in SERVICES {
                    // In a thousand steps as many requests as ten seconds have, at this load.
                    let is_due = self.rng.next_below(100_000) < per_second * load * (STEP / MS);
                    if is_due && self.processes[index].starts_at <= now {
                        self.request(service, index, now);
                    }
                }
            }
        }
        self.record
    }
}

#[test]
fn retries_of_all_processes_together_stay_within_the_allowance_of_each_service() {
    let mut repeats = 0;
    for (size, seeds) in [(1, 4), (2, 4), (3, 4), (9, 4), (20, 2), (66, 2), (90, 1), (295, 1), (320, 1)] {
        for seed in 1..=seeds {
            let record = Fleet::new(size, seed, 0, None).run(Faults::Prompt);
            repeats += record.repeats("model") + record.repeats("application");
            let excesses = record.excesses(RetryAllowance::default());
            assert!(excesses.is_empty(), "{size} processes, seed {seed}: {excesses:?}");
        }
    }
    assert!(repeats > 1_000, "only {repeats} retries: the budget was hardly used");
}

#[test]
fn retries_that_processes_hold_up_stay_within_the_stated_slack() {
    // Processes and slack as the users' pages have them, also where only half of the processes run.
    for (size, slack) in [(6, 52), (9, 58), (35, 180), (66, 172), (70, 180), (90, 220), (295, 630), (320, 630)] {
        for seed in 1..=3 {
            let record = Fleet::new(size, seed, slack, Some(size + 3)).run(Faults::Late);
            let excesses = record.excesses(RetryAllowance { slack: u64::from(slack), ..RetryAllowance::default() });
            assert!(excesses.is_empty(), "{size} processes, seed {seed}: {excesses:?}");
        }
    }
}

/// Records a hundred requests for the service `a` from 20 to 30 s, and repeated arrivals: how many, and at what second.
fn record(repeats: &[(u64, Micros)]) -> RetryRecord {
    let mut record = RetryRecord::default();
    for request in 0..100 {
        record.request_sent("a", 20 * SEC + request * 100 * MS);
    }
    for (count, second) in repeats {
        for request in 0..*count {
            record.request_arrived("a", second * 1_000 + request, second * SEC - MS);
            record.request_arrived("a", second * 1_000 + request, second * SEC);
        }
    }
    record
}

#[test]
fn the_check_of_retries_sees_an_excess_in_any_window_and_of_each_service() {
    let allowance = RetryAllowance::default();
    let worst =
        |record: &RetryRecord| record.excesses(allowance).first().map(|excess| (excess.repeats, excess.allowed));
    assert_eq!(worst(&record(&[(15, 28)])), None, "from 22.5 s no window has more than 75 requests");
    assert_eq!(worst(&record(&[(16, 28)])), Some((16, 15)));
    assert_eq!(worst(&record(&[(8, 28), (8, 32)])), Some((16, 15)), "across the end of the requests");
    assert_eq!(worst(&record(&[(15, 32)])), None, "paid by the windows before");
    assert_eq!(worst(&record(&[(1, 46)])), Some((1, 0)), "requests that are too old pay for nothing");
    assert_eq!(worst(&record(&[(1, 5)])), Some((1, 0)), "nor do those to come");
    let mut other = record(&[(16, 28)]);
    for request in 0..100 {
        other.request_sent("b", 20 * SEC + request * MS);
    }
    assert_eq!(worst(&other), Some((16, 15)), "requests for another service pay for nothing");
    assert!(record(&[(16, 28)]).excesses(RetryAllowance { slack: 1, ..allowance }).is_empty());
}
