//! Records which prompts crash backend servers.

use galenahold_domain::control;
use galenahold_domain::crash;
use galenahold_wire::message;
use log::info;

use crate::control as group;
use crate::timer;

/// Returns the list of suspects if its version is not `known`.
pub(crate) fn suspect_list(
    state: &control::ControlState,
    known: u64,
) -> Option<Box<crash::SuspectList>> {
    let crashes = state.crashes();
    (crashes.version() != known).then(|| Box::new(crashes.list()))
}

/// Commits an instance's report of a crash, unless it is known.
pub(crate) async fn record_crash(
    member: &group::ControlGroup,
    report: crash::CrashReport,
) -> message::ControlReply {
    let is_news = member
        .state()
        .read(|state| state.crashes().is_news(&report));
    if !is_news {
        return message::ControlReply::Taken;
    }
    info!(
        server:% = report.server,
        started_ms = report.started_ms,
        calls = report.calls.len();
        "crash of a backend server reported"
    );
    let command = control::ControlCommand::RecordCrash {
        report,
        now_ms: timer::epoch_ms(),
    };
    propose_and_log(member, &command).await
}

/// Commits that parts of prompts are harmless, as far as they are suspects.
pub(crate) async fn clear_suspects(
    member: &group::ControlGroup,
    keys: &[crash::PromptKey],
) -> message::ControlReply {
    let keys = member
        .state()
        .read(|state| state.crashes().suspects_among(keys));
    if keys.is_empty() {
        return message::ControlReply::Taken;
    }
    let command = control::ControlCommand::ClearSuspects { keys };
    propose_and_log(member, &command).await
}

async fn propose_and_log(
    member: &group::ControlGroup,
    command: &control::ControlCommand,
) -> message::ControlReply {
    let before = member.state().read(|state| state.crashes().list());
    let reply = member.propose(command).await;
    let after = member.state().read(|state| state.crashes().list());
    log_difference("prompt is blocked", &after, &before);
    log_difference("prompt is no longer blocked", &before, &after);
    reply
}

fn log_difference(change: &str, one: &crash::SuspectList, other: &crash::SuspectList) {
    let added = one
        .blocked
        .iter()
        .filter(|prompt| !other.blocked.contains(prompt));
    for prompt in added {
        info!(parts:% = prompt, version = one.version.max(other.version); "{change}");
    }
}
