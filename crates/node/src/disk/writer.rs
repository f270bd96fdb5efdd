//! The thread that writes to the disk.

use super::Database;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use sumacvale_core::consensus::DurableWrite;

/// Writes that are synced together.
#[derive(Debug)]
pub struct WriteJob {
    pub token: u64,
    pub writes: Vec<DurableWrite>,
}

/// The thread that alone touches the disk.
pub struct DiskWriter {
    pub jobs: Sender<WriteJob>,
    pub error_count: Arc<AtomicU64>,
}

impl DiskWriter {
    /// Writes in order, many jobs in one commit; what fails is tried again, and
    /// nobody is told before it is synced.
    pub fn open(mut base: Database, done: impl Fn(u64) + Send + 'static) -> std::io::Result<DiskWriter> {
        let (tx, rx): (Sender<WriteJob>, Receiver<WriteJob>) = channel();
        let troubles = Arc::new(AtomicU64::new(0));
        let t = troubles.clone();
        let work = move || {
            while let Ok(j) = rx.recv() {
                let mut js = vec![j];
                while js.len() < 256
                    && let Ok(j) = rx.try_recv()
                {
                    js.push(j);
                }
                let token = js.last().map_or(0, |j| j.token);
                let mut bad = false;
                while let Err(e) = base.commit(js.iter().flat_map(|j| j.writes.iter())) {
                    t.fetch_add(1, Ordering::Relaxed);
                    if !bad {
                        tracing::error!(trouble = %e, "the disk takes no writes; this core does not vote until it does");
                    }
                    bad = true;
                    std::thread::sleep(Duration::from_millis(200));
                }
                if bad {
                    tracing::info!("the disk takes writes again");
                }
                done(token);
            }
        };
        std::thread::Builder::new().name("disk".into()).spawn(move || {
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(work)).is_err() {
                crate::fall("the disk thread ended");
            }
        })?;
        Ok(DiskWriter { jobs: tx, error_count: troubles })
    }
}
