//! What kind of error kept the settings from being read.

/// What kind of error kept the settings from being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// The file could not be read.
    Unreadable,
    /// The file was read and has problems.
    Invalid,
}
