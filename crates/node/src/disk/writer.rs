//! The thread that writes to the disk.

use super::Database;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use sumacvale_core::consensus::DurableWrite;

/// At most this many jobs are synced by one commit.
const MAX_JOBS_PER_COMMIT: usize = 256;
/// How often a failed commit is retried.
const COMMIT_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Writes of one step of the node; they are durable together or not at all.
#[derive(Debug)]
pub struct WriteJob {
    /// Reported once this job and all before it are synced.
    pub token: u64,
    /// The writes, in order.
    pub writes: Vec<DurableWrite>,
}

/// Handle of the thread `disk`, which alone touches the database. The thread ends when the last
/// clone of `jobs` is dropped.
pub struct DiskWriter {
    /// Queue of jobs, unbounded; they are written in order.
    pub jobs: Sender<WriteJob>,
    /// Commits that failed since the start.
    pub error_count: Arc<AtomicU64>,
}

impl DiskWriter {
    /// Starts the thread. `on_synced` is called with the token of the last job of each commit, never
    /// before that commit is synced. A commit that fails is retried until it succeeds.
    ///
    /// # Errors
    /// Where the operating system gives no thread.
    pub fn open(database: Database, on_synced: impl Fn(u64) + Send + 'static) -> std::io::Result<DiskWriter> {
        let (sender, receiver) = channel();
        let error_count = Arc::new(AtomicU64::new(0));
        let mut writer = WriterThread { database, jobs: receiver, error_count: error_count.clone() };
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            let run = std::panic::AssertUnwindSafe(|| writer.run(on_synced));
            if std::panic::catch_unwind(run).is_err() {
                crate::exit_after_lost_thread("the disk thread ended");
            }
        })?;
        Ok(DiskWriter { jobs: sender, error_count })
    }
}

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

    /// The first job and those that already wait behind it.
    fn collect_batch(&self, first: WriteJob) -> Vec<WriteJob> {
        let mut batch = vec![first];
        while batch.len() < MAX_JOBS_PER_COMMIT
            && let Ok(job) = self.jobs.try_recv()
        {
            batch.push(job);
        }
        batch
    }

    fn commit_with_retry(&mut self, batch: &[WriteJob]) {
        let mut failed = false;
        while let Err(error) = self.database.commit(batch.iter().flat_map(|job| job.writes.iter())) {
            self.error_count.fetch_add(1, Ordering::Relaxed);
            if !failed {
                tracing::error!(trouble = %error, "the disk takes no writes; this core does not vote until it does");
            }
            failed = true;
            std::thread::sleep(COMMIT_RETRY_INTERVAL);
        }
        if failed {
            tracing::info!("the disk takes writes again");
        }
    }
}
