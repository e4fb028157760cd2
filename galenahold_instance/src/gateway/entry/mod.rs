//! Callers' side of a gateway instance.

mod adapter_client;
mod attempt_end;
mod attempt_plan;
mod attempt_sender;
mod call_answer;
mod call_api;
mod call_dispatcher;
mod call_handler;
mod call_log;
mod demand_reporter;
mod entry_parts;
mod event_splitter;
mod leader_monitor;
mod place_lease;
mod ready_api;
mod roster_follower;
mod routed_call;
mod start_gate;
mod stream_relay;

use adapter_client::{AdapterAnswer, AdapterClient};
use attempt_end::{AttemptEnd, CompleteAnswer};
use attempt_plan::AttemptPlan;
pub(crate) use call_api::CallApi;
pub(crate) use call_dispatcher::CallDispatcher;
pub(crate) use call_handler::CallHandler;
use call_log::CallLog;
pub(crate) use demand_reporter::DemandReporter;
pub(crate) use entry_parts::EntryParts;
use event_splitter::EventSplitter;
pub(crate) use leader_monitor::LeaderMonitor;
use place_lease::PlaceLease;
pub(crate) use ready_api::ReadyApi;
pub(crate) use roster_follower::RosterFollower;
use routed_call::RoutedCall;
pub(crate) use start_gate::StartGate;
use stream_relay::StreamRelay;
