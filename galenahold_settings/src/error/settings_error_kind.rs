//! Kinds of errors of loading settings.

/// The kind of a [`SettingsError`](crate::SettingsError).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// The file could not be read.
    Unreadable,
    /// The file was read but is not valid.
    Invalid,
}
