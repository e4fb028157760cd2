//! Why an instance is asked to stop.

/// Why an instance is asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A planned stop: unready first, then every request is answered.
    Planned,
    /// The instance can no longer do its work.
    Fault,
}
