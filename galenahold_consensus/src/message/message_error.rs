//! [`MessageError`].

use snafu::Snafu;

/// Why bytes could not be turned into a message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageError {
    /// The bytes are no message that this version knows.
    #[snafu(display(
        "decoding a consensus message of {length_bytes} bytes: drop it, the sender may be newer"
    ))]
    Decode {
        /// Length of the input in bytes.
        length_bytes: usize,
        /// What the codec reports.
        source: rmp_serde::decode::Error,
    },
}
