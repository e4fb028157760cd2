//! The error type of this crate.

use snafu::Snafu;

use crate::amount;

/// An error of this crate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DomainError {
    /// A change of the configuration does not follow the revision in force.
    #[snafu(display(
        "apply a change of the configuration: revision {expected} is next, revision {found} came; fetch the whole configuration"
    ))]
    RevisionOutOfOrder {
        /// The revision that would be next.
        expected: amount::RevisionNumber,
        /// The revision of the change.
        found: amount::RevisionNumber,
    },
    /// A command is encoded in a later version than this program knows.
    #[snafu(display(
        "decode a log entry: version {found} is later than {known}; stop and upgrade this instance"
    ))]
    CommandVersion {
        /// The entry's version.
        found: u32,
        /// The latest version known here.
        known: u32,
    },
    /// A command is of a kind that this program does not know.
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
    /// A snapshot is encoded in a later version than this program knows.
    #[snafu(display(
        "restore a snapshot: version {found} is later than {known}; stop and upgrade this instance"
    ))]
    SnapshotVersion {
        /// The snapshot's version.
        found: u32,
        /// The latest version known here.
        known: u32,
    },
    /// A snapshot cannot be decoded.
    #[snafu(display("restore a snapshot: {source}; fetch another from the leader"))]
    SnapshotMalformed {
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// An intent document cannot be read.
    #[snafu(display("read an intent: line {line}, column {column}, field `{field}`: {reason}"))]
    IntentMalformed {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The path of the field, such as `teams[2].weight`.
        field: String,
        /// What is wrong.
        reason: String,
    },
    /// A caller's key does not have the form `gh_ID_SECRET`.
    #[snafu(display("read a key: it does not have the form `gh_ID_SECRET`; check the header"))]
    KeyMalformed,
}
