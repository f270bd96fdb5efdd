//! The settings of one machine.

mod args;
mod read;

pub use args::{CommandLineAction, HELP, parse_command_line};
pub use read::{MembershipSettings, Settings, SettingsError, SettingsOverrides, read};
