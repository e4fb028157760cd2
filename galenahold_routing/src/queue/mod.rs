//! Fair queueing between teams.

mod fair_queue;
mod queue_entry;
mod queue_limits;
mod queue_refusal;
mod queue_ticket;
mod queued_item;
mod refused_item;
mod service_rate;
mod team_subqueue;

pub use fair_queue::FairQueue;
pub use queue_entry::QueueEntry;
pub use queue_limits::QueueLimits;
pub use queue_refusal::QueueRefusal;
pub use queue_ticket::QueueTicket;
pub use queued_item::QueuedItem;
pub use refused_item::RefusedItem;
pub use service_rate::ServiceRate;
