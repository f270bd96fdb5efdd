//! The allowance of retries of a whole fleet, judged by what workers received and not by what nodes counted.
//!
//! Of each service, the arrivals beyond the first of each request, summed over all nodes, may in no window be more
//! than a fraction of the requests for the service plus a slack. Requests are counted in the window itself, in the
//! window before it, or in the window half a window earlier, whichever has the most.

use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, SEC};

/// The distance of the windows that are judged beside those that begin with a repeated arrival, in microseconds.
const WINDOW_STEP: Micros = 50 * MS;

/// How many repeated arrivals a service may get.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Repeated arrivals allowed for a hundred requests.
    pub percent: u64,
    /// The length of a window, in microseconds.
    pub window: Micros,
    /// Repeated arrivals allowed beside those.
    pub slack: u64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        RetryAllowance { percent: 20, window: 10 * SEC, slack: 0 }
    }
}

/// What one service received. Times are in microseconds.
#[derive(Clone, Debug, Default)]
struct ServiceTraffic {
    /// When clients sent the requests for the service.
    requests: Vec<Micros>,
    /// The requests of which an arrival was recorded.
    arrived: BTreeSet<u64>,
    /// The arrivals beyond the first of each request.
    repeats: Vec<Micros>,
}

/// A window in which a service got more repeated arrivals than allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryExcess {
    /// The service.
    pub service: String,
    /// The beginning of the window, in microseconds.
    pub begin: Micros,
    /// The repeated arrivals in the window.
    pub repeats: u64,
    /// The repeated arrivals that are allowed.
    pub allowed: u64,
}

/// The requests of clients and the arrivals at workers, by service.
#[derive(Clone, Debug, Default)]
pub struct RetryRecord(BTreeMap<String, ServiceTraffic>);

impl RetryRecord {
    /// Records that a client sent a request for a service.
    pub fn request_sent(&mut self, service: &str, at: Micros) {
        self.0.entry(service.to_owned()).or_default().requests.push(at);
    }

    /// Records that a worker of a service received a request, whether or not it ran it.
    pub fn request_arrived(&mut self, service: &str, request: u64, at: Micros) {
        let traffic = self.0.entry(service.to_owned()).or_default();
        if !traffic.arrived.insert(request) {
            traffic.repeats.push(at);
        }
    }

    /// Returns the number of repeated arrivals at a service.
    pub fn repeats(&self, service: &str) -> usize {
        self.0.get(service).map_or(0, |traffic| traffic.repeats.len())
    }

    /// Returns, for each service whose allowance was exceeded, the window with the greatest excess.
    pub fn excesses(&self, allowance: RetryAllowance) -> Vec<RetryExcess> {
        self.0.iter().filter_map(|(service, traffic)| traffic.greatest_excess(service, allowance)).collect()
    }
}

impl ServiceTraffic {
    fn greatest_excess(&self, service: &str, allowance: RetryAllowance) -> Option<RetryExcess> {
        let mut sorted = self.clone();
        sorted.requests.sort_unstable();
        sorted.repeats.sort_unstable();
        let (first, last) = (*sorted.repeats.first()?, *sorted.repeats.last()?);
        let from = first.saturating_sub(allowance.window);
        let steps = (0..=(last - from) / WINDOW_STEP).map(|step| from + step * WINDOW_STEP);
        let excess = |begin: Micros| {
            let (repeats, allowed) = (sorted.repeats_from(begin, allowance), sorted.allowed_from(begin, allowance));
            (repeats > allowed).then(|| RetryExcess { service: service.to_owned(), begin, repeats, allowed })
        };
        let windows = sorted.repeats.iter().copied().chain(steps);
        windows.filter_map(excess).max_by_key(|excess| excess.repeats - excess.allowed)
    }

    fn repeats_from(&self, begin: Micros, allowance: RetryAllowance) -> u64 {
        count_between(&self.repeats, begin, begin + allowance.window)
    }

    fn allowed_from(&self, begin: Micros, allowance: RetryAllowance) -> u64 {
        let window = allowance.window;
        let requests = [0, window / 2, window]
            .map(|earlier| {
                let end = (begin + window).saturating_sub(earlier);
                count_between(&self.requests, begin.saturating_sub(earlier), end)
            })
            .into_iter()
            .max();
        requests.unwrap_or(0) * allowance.percent / 100 + allowance.slack
    }
}

/// Returns how many of the sorted times are in `begin..end`.
fn count_between(times: &[Micros], begin: Micros, end: Micros) -> u64 {
    let before = |limit: Micros| times.partition_point(|time| *time < limit);
    (before(end) - before(begin)) as u64
}
