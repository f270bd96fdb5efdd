//! The settings of one node: its command line and its settings file.

mod args;
mod read;

pub use args::{CommandLineAction, HELP, parse_command_line};
pub use read::{MembershipSettings, Settings, SettingsError, SettingsOverrides, read};
