//! Scheduling of the calls of declared services: each call is placed at a backend server, queued or refused.
//!
//! A [`CallScheduler`] decides for one entry instance. It uses the leader's roster of servers, which lags
//! behind, and the results of this instance's own attempts.

mod adapter_retries;
mod attempt_budget;
mod attempt_report;
mod call_placement;
mod call_requirements;
mod call_scheduler;
mod call_submission;
mod call_ticket;
mod call_times;
mod load_estimate;
mod model_target;
mod model_usage;
mod placed_call;
mod scheduler_refusal;
mod scheduler_server;
mod server_closures;
mod start_wait;
mod wait_queue;

pub use adapter_retries::{AdapterRetries, AdapterStep};
pub use attempt_budget::AttemptBudget;
pub use attempt_report::AttemptReport;
pub use call_placement::CallPlacement;
pub use call_requirements::CallRequirements;
pub use call_scheduler::CallScheduler;
pub use call_submission::CallSubmission;
pub use call_ticket::CallTicket;
pub use call_times::CallTimes;
use load_estimate::LoadEstimate;
pub use model_target::ModelTarget;
pub use model_usage::ModelUsage;
pub use placed_call::PlacedCall;
pub use scheduler_refusal::{RefusalCause, SchedulerRefusal};
use scheduler_server::SchedulerServer;
pub use server_closures::ServerClosures;
pub use start_wait::StartWait;
use wait_queue::WaitQueue;
