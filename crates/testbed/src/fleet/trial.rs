//! Helpers for tests on a small fleet.

use super::config::tenant_key;
use super::nodes::Fleet;
use crate::standin::StandInClient;
use std::sync::{Mutex, PoisonError};

/// Held by the fleet under test: two fleets at once would slow each other, and their tests bound times.
static RUNNING_FLEET: Mutex<()> = Mutex::new(());

/// Runs an asynchronous test to its end, once the other tests of this process that were begun have ended.
///
/// # Panics
///
/// The test returns an error, which becomes the message of the panic.
pub fn run_async_test(test: impl Future<Output = Result<(), String>>) {
    let _running = RUNNING_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("threads");
    if let Err(reason) = runtime.block_on(test) {
        panic!("{reason}");
    }
}

/// Checks a condition of a test.
///
/// # Errors
///
/// The condition does not hold. The error is `reason`.
pub fn ensure(condition: bool, reason: impl Into<String>) -> Result<(), String> {
    if condition { Ok(()) } else { Err(reason.into()) }
}

/// Returns a client of a tenant that calls one path.
#[must_use]
pub fn client(fleet: &Fleet, path: &'static str, tenant: usize) -> StandInClient {
    StandInClient { http: fleet.http.clone(), kind: "x", path, tenant: format!("t{tenant}"), key: tenant_key(tenant) }
}
