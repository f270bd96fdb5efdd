//! What trials on a small fleet have in common.

use super::config::tenant_key;
use super::nodes::Fleet;
use crate::standin::StandInClient;

/// Runs one trial to its end.
///
/// # Panics
///
/// The trial fails; the message is the reason that it gives.
pub fn run_trial(trial: impl Future<Output = Result<(), String>>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("threads");
    if let Err(reason) = runtime.block_on(trial) {
        panic!("{reason}");
    }
}

/// Checks a condition of a trial.
///
/// # Errors
///
/// The condition does not hold; the error is the reason.
pub fn ensure(condition: bool, reason: impl Into<String>) -> Result<(), String> {
    if condition { Ok(()) } else { Err(reason.into()) }
}

/// A client of a tenant, which calls one path.
#[must_use]
pub fn client(fleet: &Fleet, path: &'static str, tenant: usize) -> StandInClient {
    StandInClient { http: fleet.http.clone(), kind: "x", path, tenant: format!("t{tenant}"), key: tenant_key(tenant) }
}
