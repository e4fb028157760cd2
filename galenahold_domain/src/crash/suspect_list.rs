//! The parts of prompts and the requests that entry instances treat with care.

use serde::{Deserialize, Serialize};

use crate::crash;

/// The parts of prompts and the requests that crash backend servers or may do so.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    /// The version of the list, which grows with each change; zero for the list that was always empty.
    pub version: u64,
    /// The prompts that are refused.
    pub blocked: Vec<crash::BlockedPrompt>,
    /// The parts that were at a server when it crashed, and the requests that were at several. An
    /// instance at which an answer to a call with one of these or the blocked parts began, or the answer to
    /// one of these requests was completed, says so.
    pub suspected: Vec<crash::PromptKey>,
}
