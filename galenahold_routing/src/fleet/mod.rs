//! Scheduling of the calls of declared services: each call is placed at a backend server, queued or refused.
//!
//! A [`CallScheduler`] decides for one entry instance. It uses the leader's roster of servers, which lags
//! behind, and the results of this instance's own attempts.

mod adapter_retries;
mod attempt_budget;
mod attempt_report;
mod call_forecast;
mod call_placement;
mod call_rejection;
mod call_requirements;
mod call_scheduler;
mod call_submission;
mod call_ticket;
mod call_use;
mod choice_basis;
mod claim_limit;
mod load_estimate;
mod model_target;
mod model_usage;
mod output_estimator;
mod placed_call;
mod quantile_estimate;
mod run_key;
mod run_ledger;
mod scheduler_refusal;
mod scheduler_server;
mod selection_block;
mod server_closures;
mod server_selection;
mod server_set;
mod service_profile;
mod start_wait;
mod view_weight;
mod wait_queue;

pub use adapter_retries::{AdapterRetries, AdapterStep};
pub use attempt_budget::AttemptBudget;
pub use attempt_report::AttemptReport;
use call_forecast::{CallForecast, duration};
pub use call_placement::CallPlacement;
use call_rejection::{CallRejection, ExpectedWait};
pub use call_requirements::CallRequirements;
pub use call_scheduler::CallScheduler;
pub use call_submission::CallSubmission;
pub use call_ticket::CallTicket;
use call_use::CallUse;
pub use choice_basis::{ChoiceBasis, ServerFit};
use claim_limit::{ClaimLimit, SlotView};
use load_estimate::LoadEstimate;
pub use model_target::ModelTarget;
pub use model_usage::ModelUsage;
pub use output_estimator::OutputEstimator;
pub use placed_call::PlacedCall;
use quantile_estimate::QuantileEstimate;
pub use run_key::RunKey;
use run_ledger::{PlacedRun, RunLedger};
pub use scheduler_refusal::{RefusalCause, SchedulerRefusal};
use scheduler_server::SchedulerServer;
use selection_block::SelectionBlock;
pub use server_closures::ServerClosures;
use server_selection::{ServerChoice, ServerSelection};
use server_set::ServerSet;
use service_profile::ServiceProfile;
pub use start_wait::StartWait;
use view_weight::ViewWeight;
use wait_queue::WaitQueue;
