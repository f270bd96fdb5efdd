//! The traffic of a deployment, drawn from a seed.

use super::config::tenant_key;
use super::platform::ReadyFronts;
use super::spec::FleetSpec;
use crate::standin::{ClientRecord, HttpClient, StandInClient};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use sumacvale_core::base::Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The time between two draws of calls.
const TICK: Duration = Duration::from_millis(10);
/// Arrears count in so many parts of a call: a tick is a hundredth of a second, and the scale is in percent.
const PARTS_PER_CALL: u64 = 10_000;
/// The index of lookups among the two groups of calls; the other group calls the model.
const LOOKUPS: usize = 0;

/// The records of all calls that ended. Clones share them.
#[derive(Clone, Default)]
pub struct ClientRecords(Arc<Mutex<Vec<ClientRecord>>>);

impl ClientRecords {
    fn add(&self, record: ClientRecord) {
        if let Ok(mut records) = self.0.lock() {
            records.push(record);
        }
    }

    /// All records so far.
    pub fn all(&self) -> Vec<ClientRecord> {
        self.0.lock().map(|records| records.clone()).unwrap_or_default()
    }
}

/// What sends a deployment's calls.
pub struct Traffic {
    /// The rates and the number of tenants.
    pub spec: FleetSpec,
    /// The connections of all clients.
    pub http: HttpClient,
    /// Where clients may send calls.
    pub fronts: ReadyFronts,
    /// The seed of all draws.
    pub seed: u64,
    /// The rates in percent of the deployment's.
    pub scale_percent: u64,
    /// Where the records of calls go.
    pub records: ClientRecords,
}

impl Traffic {
    /// Sends calls at the deployment's rates until it is stopped, then awaits them.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut rng = Rng::new(self.seed);
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut calls = JoinSet::new();
        let mut call_count = 0u64;
        let mut arrears = [0u64; 2];
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            while calls.try_join_next().is_some() {}
            for (group, rate) in [self.spec.lookup_rate, self.spec.model_rate].into_iter().enumerate() {
                arrears[group] += rate * self.scale_percent;
                for _ in 0..draw_call_count(&mut arrears[group], &mut rng) {
                    call_count += 1;
                    self.send_call(group, call_count, &mut rng, &mut calls);
                }
            }
        }
        while calls.join_next().await.is_some() {}
    }

    fn send_call(&self, group: usize, number: u64, rng: &mut Rng, calls: &mut JoinSet<()>) {
        let Some(client) = self.draw_client(group, rng) else { return };
        let fronts = self.fronts.borrow().clone();
        if fronts.is_empty() {
            return;
        }
        let front = fronts[usize::try_from(rng.below(fronts.len() as u64)).unwrap_or(0)].clone();
        let id = format!("{:x}-{number}", self.seed);
        let prompt = format!("prefix {:02} of {} shared by all its calls|{number}", rng.below(40), client.tenant);
        let records = self.records.clone();
        calls.spawn(async move { records.add(client.call(&front, &id, &prompt).await) });
    }

    fn draw_client(&self, group: usize, rng: &mut Rng) -> Option<StandInClient> {
        let (kind, path) = draw_path(group, rng);
        // A few tenants have most of the traffic; one call in fifty has no known key.
        let tenant = if rng.chance(55) { rng.below(2) } else { rng.below(self.spec.tenants as u64) };
        let tenant = usize::try_from(tenant).ok()?;
        let key = if rng.chance(2) { format!("nobody-{}", rng.below(1_000)) } else { tenant_key(tenant) };
        Some(StandInClient { http: self.http.clone(), kind, path, tenant: format!("t{tenant}"), key })
    }
}

/// Calls come at random times, on the average at the rate.
fn draw_call_count(arrears: &mut u64, rng: &mut Rng) -> u64 {
    let whole_calls = *arrears / PARTS_PER_CALL;
    *arrears %= PARTS_PER_CALL;
    let extra_call = u64::from(rng.below(PARTS_PER_CALL) < *arrears);
    if rng.below(PARTS_PER_CALL) < *arrears {
        *arrears = 0;
    }
    whole_calls + extra_call
}

/// The kind and the path of a call.
fn draw_path(group: usize, rng: &mut Rng) -> (&'static str, &'static str) {
    if group == LOOKUPS {
        return ("lookup", if rng.chance(80) { "/v1/confirm" } else { "/v1/book" });
    }
    match rng.below(100) {
        0..30 => ("draft", "/v1/draft"),
        30..85 => ("chat", "/v1/chat"),
        _ => ("summary", "/v1/summary"),
    }
}
