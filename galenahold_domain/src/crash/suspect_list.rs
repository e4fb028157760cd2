//! The parts of prompts that entry instances treat with care.

use serde::{Deserialize, Serialize};

use crate::crash;

/// The parts of prompts that crash backend servers or may do so.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    /// The version of the list, which grows with each change; zero for the list that was always empty.
    pub version: u64,
    /// The prompts that are refused.
    pub blocked: Vec<crash::BlockedPrompt>,
    /// The parts that were at a server when it crashed. An instance at which an answer to a call with
    /// one of them, or of the blocked parts, began says so.
    pub suspected: Vec<crash::PromptKey>,
}
