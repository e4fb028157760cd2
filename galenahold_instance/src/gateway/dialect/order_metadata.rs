//! What goes with an order.

/// What goes with an order to an engine.
#[derive(Debug, Clone, Copy)]
pub struct OrderMetadata<'a> {
    /// Who orders.
    pub holder: &'a str,
    /// The fencing number of the leadership that orders.
    pub fence: u64,
    /// Orders that the engine must have taken before this one; it refuses the order otherwise.
    pub after: Option<u64>,
}
