//! Who owns an attempt of an order.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// Who owns an attempt of an order, and may send it once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOwner {
    /// The instance.
    pub instance: name::InstanceName,
    /// The instance's incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The number of the start command at that instance.
    pub call: u64,
}
