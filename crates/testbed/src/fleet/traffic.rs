//! The traffic of a deployment. The calls are drawn from a seed.

use super::config::tenant_key;
use super::load_balancer::ReadyFronts;
use super::spec::FleetSpec;
use crate::standin::{ClientRecord, HttpClient, StandInClient};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use sumacvale_core::base::Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The time between two draws of calls.
const TICK: Duration = Duration::from_millis(10);
/// The resolution of `accumulated`, in units per call: 100 ticks per second times 100 percent.
const UNITS_PER_CALL: u64 = 10_000;
/// The index of the group of lookups; calls of the other group go to the model.
const LOOKUPS: usize = 0;

/// The records of all ended calls. Clones share the same records.
#[derive(Clone, Default)]
pub struct ClientRecords(Arc<Mutex<Vec<ClientRecord>>>);

impl ClientRecords {
    /// Adds the record of a call.
    fn add(&self, record: ClientRecord) {
        if let Ok(mut records) = self.0.lock() {
            records.push(record);
        }
    }

    /// Returns all records so far.
    pub fn all(&self) -> Vec<ClientRecord> {
        self.0.lock().map(|records| records.clone()).unwrap_or_default()
    }
}

/// The generator of a deployment's calls.
pub struct Traffic {
    /// The deployment, with the rates and the number of tenants.
    pub spec: FleetSpec,
    /// The HTTP client that all clients share.
    pub http: HttpClient,
    /// The fronts that clients may send calls to.
    pub fronts: ReadyFronts,
    /// The seed of all draws.
    pub seed: u64,
    /// The call rates, in percent of the deployment's rates.
    pub scale_percent: u64,
    /// The records that each ended call is added to.
    pub records: ClientRecords,
}

impl Traffic {
    /// Sends calls at the deployment's rates until `stop` is true, then waits for their ends.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut rng = Rng::new(self.seed);
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut calls = JoinSet::new();
        let mut call_count = 0u64;
        let mut accumulated = [0u64; 2];
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            while calls.try_join_next().is_some() {}
            for (group, rate) in [self.spec.lookup_rate, self.spec.model_rate].into_iter().enumerate() {
                accumulated[group] += rate * self.scale_percent;
                for _ in 0..draw_call_count(&mut accumulated[group], &mut rng) {
                    call_count += 1;
                    self.send_call(group, call_count, &mut rng, &mut calls);
                }
            }
        }
        while calls.join_next().await.is_some() {}
    }

    /// Draws a call and sends it to a ready front; drops the call if no front is ready.
    fn send_call(&self, group: usize, number: u64, rng: &mut Rng, calls: &mut JoinSet<()>) {
        let Some(client) = self.draw_client(group, rng) else { return };
        let fronts = self.fronts.borrow().clone();
        if fronts.is_empty() {
            return;
        }
        let front = fronts[usize::try_from(rng.next_below(fronts.len() as u64)).unwrap_or(0)].clone();
        let id = format!("{:x}-{number}", self.seed);
        let prompt = format!("prefix {:02} of {} shared by all its calls|{number}", rng.next_below(40), client.tenant);
        let records = self.records.clone();
        calls.spawn(async move { records.add(client.call(&front, &id, &prompt).await) });
    }

    /// Draws the tenant, key, kind and path of a call.
    fn draw_client(&self, group: usize, rng: &mut Rng) -> Option<StandInClient> {
        let (kind, path) = draw_path(group, rng);
        // Two tenants have most of the traffic; one call in fifty has an unknown key.
        let tenant = if rng.chance_percent(55) { rng.next_below(2) } else { rng.next_below(self.spec.tenants as u64) };
        let tenant = usize::try_from(tenant).ok()?;
        let key = if rng.chance_percent(2) { format!("nobody-{}", rng.next_below(1_000)) } else { tenant_key(tenant) };
        Some(StandInClient { http: self.http.clone(), kind, path, tenant: format!("t{tenant}"), key })
    }
}

/// Draws the number of calls to send in this tick. Calls are sent at random times, on average at the rate.
fn draw_call_count(accumulated: &mut u64, rng: &mut Rng) -> u64 {
    let whole_calls = *accumulated / UNITS_PER_CALL;
    *accumulated %= UNITS_PER_CALL;
    let extra_call = u64::from(rng.next_below(UNITS_PER_CALL) < *accumulated);
    if rng.next_below(UNITS_PER_CALL) < *accumulated {
        *accumulated = 0;
    }
    whole_calls + extra_call
}

/// Draws the kind and the path of a call.
fn draw_path(group: usize, rng: &mut Rng) -> (&'static str, &'static str) {
    if group == LOOKUPS {
        return ("lookup", if rng.chance_percent(80) { "/v1/confirm" } else { "/v1/book" });
    }
    match rng.next_below(100) {
        0..30 => ("draft", "/v1/draft"),
        30..85 => ("chat", "/v1/chat"),
        _ => ("summary", "/v1/summary"),
    }
}
