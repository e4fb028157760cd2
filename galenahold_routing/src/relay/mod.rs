//! Memory of events that were read from backend servers before their callers read them.
//!
//! The workload behind it: callers that read slowly, in front of backend servers that cut off a response which
//! stays unread for some seconds, at instances with 120 MB of memory.

mod read_ahead_ledger;
mod read_ahead_limits;
mod read_ahead_step;

pub use read_ahead_ledger::{ReadAheadLedger, StreamKey};
pub use read_ahead_limits::ReadAheadLimits;
pub use read_ahead_step::ReadAheadStep;
