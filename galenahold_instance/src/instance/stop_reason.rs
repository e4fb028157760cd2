//! The reason for stopping an instance.

/// The reason for stopping an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A planned stop: the instance first becomes not ready, then answers every accepted request.
    Planned,
    /// The instance can no longer work.
    Fault,
}
