//! What one entry instance knows of prompts that crash backend servers.
//!
//! A [`PromptGuard`] follows the control group's list of suspects, refuses blocked prompts and
//! remembers which parts of prompts are harmless because answers to calls with them began.

mod prompt_guard;
mod prompt_prefixes;
mod prompt_refusal;
mod start_history;

pub use prompt_guard::PromptGuard;
pub use prompt_prefixes::prompt_keys;
pub use prompt_refusal::PromptRefusal;
use start_history::StartHistory;
