//! Bounds on the memory of messages that are held until they are whole.

mod buffer_budget;
mod buffer_share;
mod shared_bytes;

pub(crate) use buffer_budget::BufferBudget;
pub(crate) use buffer_share::BufferShare;
pub(crate) use shared_bytes::SharedBytes;
