//! Detection of requests that crash backend servers, at one entry instance.

mod broken_call;
mod crash_monitor;
mod crash_reporter;
mod prompt_answer;

pub(crate) use broken_call::BrokenCall;
pub(crate) use crash_monitor::{AnswerProgress, CrashMonitor};
pub(crate) use crash_reporter::CrashReporter;
pub(crate) use prompt_answer::refuse_prompt;
