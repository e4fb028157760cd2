//! The identity of the sender of an order.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;

/// The owner of an attempt of an order, which may send the order once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderOwner {
    /// The instance that started the attempt.
    pub instance: name::InstanceName,
    /// The instance's incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The number of the start command at that instance.
    pub call: u64,
}
