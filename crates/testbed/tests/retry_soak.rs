//! A short soak of the retry budget with processes; `testbed retry-soak` runs longer ones.

use sumacvale_testbed::fleet::{FleetSpec, RetrySoak, run_async_test, run_retry_soak};

const SECONDS: u64 = 25;

#[test]
fn retries_of_signalled_processes_stay_within_the_allowance_of_each_service() {
    run_async_test(async {
        for seed in 1..3 {
            let soak = RetrySoak { spec: FleetSpec::DERWENT, seconds: SECONDS, seed };
            let outcome = run_retry_soak(soak).await?;
            println!("seed {seed}: {outcome:?}");
            if !outcome.excesses.is_empty() {
                return Err(format!("seed {seed}: {outcome:#?}"));
            }
            let repeats: usize = outcome.repeats.values().sum();
            if outcome.requests < 1_000 || repeats < 20 {
                return Err(format!("seed {seed}: too little was tried: {outcome:#?}"));
            }
        }
        Ok(())
    });
}
