//! Tests of the counters of attempts by pool, and of their log line.

use sumacvale_core::base::{MS, SEC};
use sumacvale_core::retry::{AttemptCounters, FailurePoint, RetryLog};

#[test]
fn retries_of_one_pool_are_not_hidden_in_a_sum_over_pools() {
    let counters = AttemptCounters::default();
    (0..5).for_each(|_| counters.record_first("llm"));
    counters.record_first("app");
    counters.record_retry("app", FailurePoint::Connect);
    counters.record_retry("llm", FailurePoint::Declined);
    counters.record_retry("llm", FailurePoint::Body);
    counters.record_over_budget("llm");
    let counts = counters.list();
    assert_eq!((counts["llm"].first, counts["llm"].total_retries(), counts["llm"].over_budget), (5, 2, 1));
    assert_eq!((counts["app"].first, counts["app"].total_retries(), counts["app"].over_budget), (1, 1, 0));
    let mut log = RetryLog::default();
    let line = log.poll_line(&counters, SEC);
    assert_eq!(line.as_deref(), Some("app: first=1 connect=1; llm: first=5 declined=1 body=1 over_budget=1"));
    counters.record_first("app");
    counters.record_retry("llm", FailurePoint::Sent);
    assert_eq!(log.poll_line(&counters, SEC + 999 * MS), None, "a line a second");
    assert_eq!(log.poll_line(&counters, 2 * SEC).as_deref(), Some("llm: first=0 sent=1"));
    assert_eq!(log.poll_line(&counters, 3 * SEC), None, "nothing was retried");
}
