//! What a link does to the bytes that pass.

use std::time;

/// The fault of one direction; the default passes all bytes at once.
///
/// Bytes are never dropped, reordered or repeated within a connection: a cut holds them, as a
/// network does that loses every packet until it heals.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use galenahold_testkit::proxy::LinkFault;
///
/// let slow = LinkFault::pass().delay(Duration::from_millis(3)).bytes_per_second(1_000_000);
/// assert_ne!(slow, LinkFault::pass());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFault {
    pub(crate) cut: bool,
    pub(crate) delay: time::Duration,
    pub(crate) jitter: time::Duration,
    pub(crate) bytes_per_second: Option<u64>,
    pub(crate) stall_after: Option<u64>,
    pub(crate) reset_after: Option<u64>,
}

impl LinkFault {
    /// Passes all bytes at once.
    #[must_use]
    pub fn pass() -> Self {
        Self::default()
    }

    /// Holds all bytes, and the end of connections too.
    #[must_use]
    pub fn cut() -> Self {
        Self {
            cut: true,
            ..Self::default()
        }
    }

    /// Delays all bytes.
    #[must_use]
    pub fn delay(mut self, delay: time::Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Delays each piece by a further random time up to `jitter`, in order.
    #[must_use]
    pub fn jitter(mut self, jitter: time::Duration) -> Self {
        self.jitter = jitter;
        self
    }

    /// Limits the bytes a second of each connection.
    #[must_use]
    pub fn bytes_per_second(mut self, rate: u64) -> Self {
        self.bytes_per_second = Some(rate.max(1));
        self
    }

    /// Holds all bytes once so many have passed from now on.
    #[must_use]
    pub fn stall_after(mut self, bytes: u64) -> Self {
        self.stall_after = Some(bytes);
        self
    }

    /// Resets the connection that brings the bytes passed from now on to this number.
    #[must_use]
    pub fn reset_after(mut self, bytes: u64) -> Self {
        self.reset_after = Some(bytes);
        self
    }
}
