//! How instances reach each other.

/// How instances reach each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PeerRoute {
    /// Without a proxy.
    #[default]
    Direct,
    /// Through one link for each ordered pair, by learned addresses too.
    Pairs,
    /// Through one link for each target, so that all instances know the same address of it.
    Inbound,
}
