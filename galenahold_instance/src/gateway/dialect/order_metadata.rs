//! Metadata of an order.

/// Metadata that is sent with an order to an engine.
#[derive(Debug, Clone, Copy)]
pub struct OrderMetadata<'a> {
    /// The instance that issues the order.
    pub holder: &'a str,
    /// The fencing number of the issuing leader's term.
    pub fence: u64,
    /// The number of orders that the engine must have accepted before this one; the engine refuses
    /// the order if its count differs.
    pub after: Option<u64>,
}
