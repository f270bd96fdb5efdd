//! Reads the settings anew on SIGHUP and when their file has changed. Of new settings only the seeds
//! come into force.

use super::SettingsReload;
use crate::shared::{Command, Shared};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// How often the file is looked at.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// By what a change of the file is recognised; `None` while it can't be read.
#[derive(PartialEq, Eq)]
struct FileState {
    modified: SystemTime,
    length: u64,
}

impl FileState {
    fn of(file: &Path) -> Option<FileState> {
        let metadata = std::fs::metadata(file).ok()?;
        Some(FileState { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

/// Runs until the process exits. Settings that can't be used are logged, and the old ones stay.
pub(super) async fn watch_settings(shared: Arc<Shared>, reload: SettingsReload) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut file_state = FileState::of(&reload.file);
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
            tracing::warn!("the settings were changed and can't be used; the old ones stay in force");
            continue;
        };
        if settings.seeds != seeds {
            tracing::info!(seeds = ?settings.seeds, "the settings name other seeds");
            seeds = settings.seeds;
            let addrs = seeds.iter().map(ToString::to_string).collect();
            let _ = shared.commands.send(Command::SeedsChanged(addrs)).await;
        }
    }
}
