//! A short soak of planned work with processes; `testbed stop-soak` runs longer ones.

use sumacvale_testbed::fleet::{FleetSpec, StopSoak, run_async_test, run_stop_soak};

const SECONDS: u64 = 20;

#[test]
fn planned_work_cuts_answers_of_workers_at_work() {
    run_async_test(async {
        for seed in 1..3 {
            let soak = StopSoak { spec: FleetSpec::MTATSMINDA, clients: 60, seconds: SECONDS, seed };
            let outcome = run_stop_soak(soak).await?;
            println!("seed {seed}: {outcome:?}");
            if !outcome.lost.is_empty() || !outcome.violations.is_empty() {
                return Err(format!("seed {seed}: {outcome:#?}"));
            }
            let stops = outcome.events.get("SIGTERM").copied().unwrap_or(0);
            if outcome.requests() < 300 || stops < 2 {
                return Err(format!("seed {seed}: too little was tried: {outcome:#?}"));
            }
        }
        Ok(())
    });
}
