//! Early detection of a new leader.

use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;
use log::info;
use rand::RngExt;

use crate::gateway;
use crate::gateway::control;
use crate::peer;
use crate::task;

/// How long a member may hold its answer while the leader stays the same.
const HOLD_TIME: time::Duration = time::Duration::from_secs(2);

/// Added to the hold time for the call's timeout.
const CALL_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Detects a new leader early: waits at a member that does not lead, which notices the loss of the
/// leader long before calls to the lost leader time out.
pub(crate) struct LeaderMonitor<Dialect> {
    network: peer::PeerNetwork,
    client: peer::ControlClient<control::FleetHandler<Dialect>>,
}

impl<Dialect: gateway::FleetDialect> LeaderMonitor<Dialect> {
    pub(crate) fn new(
        network: peer::PeerNetwork,
        client: peer::ControlClient<control::FleetHandler<Dialect>>,
    ) -> Self {
        Self { network, client }
    }

    /// Starts a task that waits, at a random member each time, until the task group stops.
    pub(crate) fn start(self, tasks: &task::TaskGroup) {
        tasks.spawn_until_stop(async move {
            loop {
                if !self.wait_once().await {
                    let pause = MAX_RETRY_DELAY.mul_f64(rand::rng().random_range(0.3..1.0));
                    tokio::time::sleep(pause).await;
                }
            }
        });
    }

    /// Waits at one member; returns whether to wait at the next one without a pause.
    async fn wait_once(&self) -> bool {
        let Some(leader) = self.client.leader() else {
            return false;
        };
        let Some(member) = self.random_other_member(&leader) else {
            return false;
        };
        let request = message::WatchRequest {
            card: self.network.directory().own().clone(),
            have: galenahold_domain::amount::RevisionNumber::ZERO,
            age_ms: None,
            drain_version: 0,
            suspect_version: 0,
            roster: None,
            load_version: None,
            leader_known: Some(leader.clone()),
            in_hurry: false,
            members_mark: 0,
            hold_ms: u64::try_from(HOLD_TIME.as_millis()).unwrap_or(u64::MAX),
        };
        let waited = self
            .network
            .call(
                &member,
                HOLD_TIME + CALL_MARGIN,
                |client, context| async move { client.watch(context, request).await },
            )
            .await;
        let Ok(message::WatchReply::Unavailable {
            leader: Some(reported),
            term,
        }) = waited
        else {
            return false;
        };
        if reported == leader {
            return true;
        }
        let hint = leader::LeaderHint {
            name: Some(reported.clone()),
            term,
        };
        // A member that has not noticed the new leader yet answers at once.
        let is_new = self.client.set_leader(hint);
        if is_new {
            info!(before:% = leader, leader:% = reported, term, told_by:% = member; "detected a new leader");
        }
        is_new
    }

    fn random_other_member(&self, leader: &name::InstanceName) -> Option<name::InstanceName> {
        let mut members = self.client.members();
        members.retain(|member| member != leader);
        if members.is_empty() {
            return None;
        }
        let index = rand::rng().random_range(0..members.len());
        Some(members.swap_remove(index))
    }
}
