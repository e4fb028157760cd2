//! The result of holding an event for a caller.

use crate::relay;

/// The result of holding an event for a caller that has not read it yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadAheadStep {
    /// The event is held.
    Held,
    /// The stream holds as much as it may; the event has to wait until the caller reads.
    StreamFull,
    /// All streams together hold as much as they may: this one, the slowest reader's, has to be ended first.
    EndFirst(relay::StreamKey),
}
