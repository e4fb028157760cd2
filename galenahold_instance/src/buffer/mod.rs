//! Bounds on the memory of messages that are held until they are whole.

mod buffer_budget;
mod buffer_share;
mod read_ahead_budget;
mod read_ahead_queue;
mod shared_bytes;

pub(crate) use buffer_budget::BufferBudget;
pub(crate) use buffer_share::BufferShare;
pub(crate) use read_ahead_budget::ReadAheadBudget;
pub(crate) use read_ahead_queue::ReadAheadQueue;
pub(crate) use shared_bytes::SharedBytes;
