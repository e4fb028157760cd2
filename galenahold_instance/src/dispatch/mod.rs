//! Queues requests and assigns them to replicas of models, adapters and plain services.

mod demand_snapshot;
mod dispatch_state;
mod dispatcher;
mod drain_set;
mod replica_slot;
mod slot_request;
mod target_queue;
mod wait_ticket;

pub(crate) use demand_snapshot::{DemandSnapshot, WorkKey};
pub(crate) use dispatch_state::DispatchState;
pub(crate) use dispatcher::Dispatcher;
pub(crate) use drain_set::DrainSet;
pub(crate) use replica_slot::{AttemptOutcome, ReplicaSlot};
pub(crate) use slot_request::SlotRequest;
pub(crate) use target_queue::{SlotWaiter, TargetQueue};
pub(crate) use wait_ticket::WaitTicket;
