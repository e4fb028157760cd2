//! Builds the [`driver::LogStatus`] from the state of the Raft node.

use std::time;

use crate::core;
use crate::driver;
use crate::log;
use crate::member;

/// How long a member may be heard without another announcement until it counts as returned; one
/// that stops repeats its announcement to its end.
const RETURN_TIME: time::Duration = time::Duration::from_secs(1);

/// Fills in the fields that come from the Raft node.
pub(super) fn fill(
    status: &mut driver::LogStatus,
    node: &core::RaftNode,
    now: core::MonotonicTime,
) {
    status.cluster = Some(node.settings().cluster);
    status.role = node.role();
    status.ready = node.is_ready_leader();
    let lease_until = node.lease_until(now).filter(|_| node.is_ready_leader());
    status.lease = lease_until.map(|until| until.since(now));
    status.term = node.term();
    status.leader = leader(node);
    status.commit = node.commit();
    status.last = node.last();
    status.snapshot = node.snapshot_position();
    status.members = node
        .membership()
        .iter()
        .map(|member| report(node, member, now))
        .collect();
    status.removed = node.is_removed();
    status.safe_to_lose = safe_to_lose(node, now);
}

/// Returns the profile of the current leader, if known.
pub(super) fn leader(node: &core::RaftNode) -> Option<member::MemberProfile> {
    let member = node.membership().get(node.leader()?)?;
    Some(member.profile.clone())
}

fn report(
    node: &core::RaftNode,
    member: &member::GroupMember,
    now: core::MonotonicTime,
) -> driver::MemberReport {
    let progress = node.progress(member.profile.id);
    let is_self =
        node.role() == core::NodeRole::Leader && member.profile.id == node.settings().profile.id;
    let last = node.last().index;
    let matched = progress
        .map(|progress| progress.matched)
        .or(is_self.then_some(last));
    let lag = |matched: log::LogIndex| last.get().saturating_sub(matched.get());
    driver::MemberReport {
        member: member.clone(),
        matched,
        lag_entries: matched.map(lag),
        silence: node.silence(member.profile.id, now),
        unanswered: progress.map(|progress| now.since(progress.last_contact)),
        heard: progress.is_some_and(|progress| progress.last_echo.is_some()),
        leaving: progress.is_some_and(|progress| {
            let announced_at = progress.leaving_since;
            announced_at.is_some_and(|at| progress.last_contact.since(at) < RETURN_TIME)
        }),
    }
}

fn safe_to_lose(node: &core::RaftNode, now: core::MonotonicTime) -> Option<usize> {
    node.leading_since()?;
    let settings = node.settings();
    let is_healthy = |id: member::MemberId| {
        let Some(progress) = node.progress(id) else {
            return id == settings.profile.id;
        };
        let reachable_index = progress.matched.get() + settings.promotion_lag_entries;
        reachable_index >= node.last().index.get()
            && progress.matched >= node.leading_since().unwrap_or_default().index
            && now.since(progress.last_contact) < settings.election_timeout
    };
    let healthy_voters = node
        .membership()
        .voters()
        .filter(|id| is_healthy(*id))
        .count();
    Some(healthy_voters.saturating_sub(node.membership().majority()))
}
