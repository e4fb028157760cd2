//! Errors of decoding, parsing and following the configuration.

use snafu::Snafu;

use crate::amount;

/// An error of this crate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DomainError {
    /// A change of the configuration does not directly follow the revision in force.
    #[snafu(display(
        "apply a change of the configuration: expected revision {expected}, got revision {found}; fetch the whole configuration"
    ))]
    RevisionOutOfOrder {
        /// The revision that follows the one in force.
        expected: amount::RevisionNumber,
        /// The revision of the change.
        found: amount::RevisionNumber,
    },
    /// A command is encoded in a newer version than this program supports.
    #[snafu(display(
        "decode a log entry: version {found} is newer than {known}, the latest supported version; stop and upgrade this instance"
    ))]
    CommandVersion {
        /// The entry's version.
        found: u32,
        /// The latest version that this program supports.
        known: u32,
    },
    /// The kind of a command is unknown to this program.
    #[snafu(display(
        "decode a log entry: the command kind `{kind}` is unknown; stop and upgrade this instance"
    ))]
    CommandKind {
        /// The entry's command kind.
        kind: String,
    },
    /// A command cannot be decoded.
    #[snafu(display("decode a log entry: {source}; stop and check the log"))]
    CommandMalformed {
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// A snapshot is encoded in a newer version than this program supports.
    #[snafu(display(
        "restore a snapshot: version {found} is newer than {known}, the latest supported version; stop and upgrade this instance"
    ))]
    SnapshotVersion {
        /// The snapshot's version.
        found: u32,
        /// The latest version that this program supports.
        known: u32,
    },
    /// A snapshot cannot be decoded.
    #[snafu(display("restore a snapshot: {source}; fetch another from the leader"))]
    SnapshotMalformed {
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// An intent document cannot be parsed.
    #[snafu(display("read an intent: line {line}, column {column}, field `{field}`: {reason}"))]
    IntentMalformed {
        /// The line number, counted from 1.
        line: usize,
        /// The column number, counted from 1.
        column: usize,
        /// The path of the field, such as `teams[2].weight`.
        field: String,
        /// The parser's message.
        reason: String,
    },
    /// A caller's key does not have the form `gh_ID_SECRET`.
    #[snafu(display("read a key: it does not have the form `gh_ID_SECRET`; check the header"))]
    KeyMalformed,
}
