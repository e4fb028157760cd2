//! What one entry instance knows of requests that crash backend servers.
//!
//! A [`PromptGuard`] follows the control group's list of suspects, refuses blocked prompts and requests
//! and remembers which are harmless: parts of prompts because answers to calls with them began, requests
//! because their answers were completed. [`CallKeys`] recognize a call.

mod call_keys;
mod prompt_guard;
mod prompt_prefixes;
mod prompt_refusal;
mod start_history;

pub use call_keys::CallKeys;
pub use prompt_guard::PromptGuard;
pub use prompt_prefixes::prompt_keys;
pub use prompt_refusal::PromptRefusal;
use start_history::StartHistory;
