//! The thread `disk`, which writes to the database.

use super::Database;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use sumacvale_core::consensus::DurableWrite;

/// Maximum number of jobs in one commit.
const MAX_JOBS_PER_COMMIT: usize = 256;
/// Pause before a failed commit is retried.
const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The writes of one step of the node, which become durable together or not at all.
#[derive(Debug)]
pub struct WriteJob {
    /// Reported once this job and all earlier ones are synced.
    pub token: u64,
    /// The writes, in order.
    pub writes: Vec<DurableWrite>,
}

/// Handle of the thread `disk`, the only user of the database. The thread ends when the last clone of
/// `jobs` is dropped.
pub struct DiskWriter {
    /// Unbounded queue of jobs, which are written in order.
    pub jobs: Sender<WriteJob>,
    /// The number of failed commits since the start.
    pub error_count: Arc<AtomicU64>,
}

impl DiskWriter {
    /// Starts the thread. `on_synced` is called with the token of the last job of each commit, never
    /// before that commit is synced. A commit that fails is retried until it succeeds.
    ///
    /// # Errors
    /// The error of the operating system where the thread can't be started.
    pub fn open(database: Database, on_synced: impl Fn(u64) + Send + 'static) -> std::io::Result<DiskWriter> {
        let (sender, receiver) = channel();
        let error_count = Arc::new(AtomicU64::new(0));
        let mut writer = WriterThread { database, jobs: receiver, error_count: error_count.clone() };
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            let run = std::panic::AssertUnwindSafe(|| writer.run(on_synced));
            if std::panic::catch_unwind(run).is_err() {
                crate::exit_after_thread_failure("the disk thread failed");
            }
        })?;
        Ok(DiskWriter { jobs: sender, error_count })
    }
}

/// The state of the thread `disk`.
struct WriterThread {
    database: Database,
    jobs: Receiver<WriteJob>,
    error_count: Arc<AtomicU64>,
}

impl WriterThread {
    fn run(&mut self, on_synced: impl Fn(u64)) {
        while let Ok(first) = self.jobs.recv() {
            let batch = self.collect_batch(first);
            let token = batch.last().map_or(0, |job| job.token);
            self.commit_with_retry(&batch);
            on_synced(token);
        }
    }

    /// Returns the first job and those already queued behind it.
    fn collect_batch(&self, first: WriteJob) -> Vec<WriteJob> {
        let mut batch = vec![first];
        while batch.len() < MAX_JOBS_PER_COMMIT
            && let Ok(job) = self.jobs.try_recv()
        {
            batch.push(job);
        }
        batch
    }

    /// Commits the jobs, with retries until the commit succeeds.
    fn commit_with_retry(&mut self, batch: &[WriteJob]) {
        let mut has_failed = false;
        while let Err(error) = self.database.commit(batch.iter().flat_map(|job| job.writes.iter())) {
            self.error_count.fetch_add(1, Ordering::Relaxed);
            if !has_failed {
                tracing::error!(error = %error, "the disk takes no writes; this core does not vote until it does");
            }
            has_failed = true;
            std::thread::sleep(COMMIT_RETRY_INTERVAL);
        }
        if has_failed {
            tracing::info!("the disk takes writes again");
        }
    }
}
