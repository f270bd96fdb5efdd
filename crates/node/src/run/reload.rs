//! Reloads the settings on SIGHUP and when the settings file has changed. Only changed seeds take
//! effect; all other settings need a restart.

use super::SettingsReload;
use crate::shared::{Command, Shared};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// How often the settings file is polled for a change.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The metadata by which a change of the settings file is recognised.
#[derive(PartialEq, Eq)]
struct FileState {
    modified: SystemTime,
    length: u64,
}

impl FileState {
    /// Returns `None` while the file can't be read.
    fn of(file: &Path) -> Option<FileState> {
        let metadata = std::fs::metadata(file).ok()?;
        Some(FileState { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

/// Reloads the settings until the process exits. Invalid settings are logged, and the previous ones
/// stay in force.
pub(super) async fn watch_settings(shared: Arc<Shared>, reload: SettingsReload) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    // The file may have changed since the settings were read, so the first check reads it again.
    let mut file_state = None;
    let mut seeds = shared.settings.seeds.clone();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => {
                if FileState::of(&reload.file) == file_state {
                    continue;
                }
            }
        }
        file_state = FileState::of(&reload.file);
        let Some(settings) = (reload.read)() else {
            tracing::warn!(
                "the changed settings are invalid and the previous ones stay in force; run with --check to see the errors"
            );
            continue;
        };
        if settings.seeds != seeds {
            tracing::info!(seeds = ?settings.seeds, "the seeds changed");
            seeds = settings.seeds;
            let addrs = seeds.iter().map(ToString::to_string).collect();
            let _ = shared.commands.send(Command::SeedsChanged(addrs)).await;
        }
    }
}
