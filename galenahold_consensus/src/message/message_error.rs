//! Errors from decoding consensus messages.

use snafu::Snafu;

/// Error from decoding a consensus message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MessageError {
    /// The bytes are not a message that this version knows.
    #[snafu(display(
        "decoding a consensus message of {length_bytes} bytes: drop it, the sender may be newer"
    ))]
    Decode {
        /// Length of the input in bytes.
        length_bytes: usize,
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
}
