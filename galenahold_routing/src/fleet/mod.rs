//! Where the calls of declared services go: to which backend server, after which wait, or nowhere.
//!
//! [`DispatchBoard`] answers for one entry instance. It decides from the leader's roster, which lags,
//! and from what this instance's own attempts have shown.

mod adapter_tries;
mod attempt_report;
mod board_refusal;
mod board_server;
mod call_need;
mod call_placement;
mod call_submission;
mod call_ticket;
mod dispatch_board;
mod load_estimate;
mod model_tally;
mod model_target;
mod placed_call;
mod retry_purse;
mod start_wait;
mod wait_line;

pub use adapter_tries::{AdapterStep, AdapterTries};
pub use attempt_report::AttemptReport;
pub use board_refusal::{BoardRefusal, RefusalCause};
use board_server::BoardServer;
pub use call_need::CallNeed;
pub use call_placement::CallPlacement;
pub use call_submission::CallSubmission;
pub use call_ticket::CallTicket;
pub use dispatch_board::DispatchBoard;
use load_estimate::LoadEstimate;
pub use model_tally::ModelTally;
pub use model_target::ModelTarget;
pub use placed_call::PlacedCall;
pub use retry_purse::RetryPurse;
pub use start_wait::StartWait;
use wait_line::WaitLine;
