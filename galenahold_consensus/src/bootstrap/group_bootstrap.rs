//! Bootstrap of a data folder that belongs to no group.

use std::collections;
use std::time;

use crate::bootstrap;
use crate::core;
use crate::member;
use crate::message;

/// Creates or joins a group for a data folder that belongs to none, as a step function.
///
/// Only the voter with the lowest name (the founder) creates a group, and only while the data
/// folders of all voters announce that they belong to none. A data folder joins one group durably
/// and never leaves it. So two groups cannot both have a quorum, even if the founder loses its data
/// folder during the bootstrap and starts again: any two quorums share a voter, and a voter joins
/// one group only.
#[derive(Debug, Clone)]
pub struct GroupBootstrap {
    profile: member::MemberProfile,
    voters: Vec<member::MemberEndpoint>,
    announced_profiles: collections::BTreeMap<member::MemberName, member::MemberProfile>,
    existing_cluster: Option<member::ClusterId>,
    may_found: bool,
    next_greeting_at: core::MonotonicTime,
    interval: time::Duration,
}

impl GroupBootstrap {
    /// Starts the bootstrap of a data folder with the voters from the settings.
    #[must_use]
    pub fn new(
        profile: member::MemberProfile,
        voters: Vec<member::MemberEndpoint>,
        interval: time::Duration,
        now: core::MonotonicTime,
    ) -> Self {
        Self {
            profile,
            voters,
            interval,
            announced_profiles: collections::BTreeMap::new(),
            existing_cluster: None,
            may_found: true,
            next_greeting_at: now,
        }
    }

    /// Sets whether this member may create a group, or only join an existing one.
    #[must_use]
    pub fn with_may_found(mut self, may_found: bool) -> Self {
        self.may_found = may_found;
        self
    }

    /// Returns an existing group to which this data folder does not belong, if a member reported
    /// one.
    #[must_use]
    pub fn existing_cluster(&self) -> Option<member::ClusterId> {
        self.existing_cluster
    }

    /// Returns the endpoints to which a greeting is due.
    pub fn greeting_targets(&mut self, now: core::MonotonicTime) -> Vec<member::MemberEndpoint> {
        if now < self.next_greeting_at {
            return Vec::new();
        }
        self.next_greeting_at = now + self.interval;
        self.other_voters().cloned().collect()
    }

    /// Returns the greeting that announces this data folder.
    #[must_use]
    pub fn greeting(&self) -> message::BootstrapBody {
        message::BootstrapBody::Greeting(self.profile.clone())
    }

    /// Handles a bootstrap message; returns the step to take, if any.
    pub fn receive(&mut self, body: message::BootstrapBody) -> Option<bootstrap::BootstrapStep> {
        match body {
            message::BootstrapBody::Greeting(profile) => {
                self.announced_profiles
                    .insert(profile.endpoint.name.clone(), profile);
                None
            }
            message::BootstrapBody::Founded { cluster } => {
                self.existing_cluster = Some(cluster);
                None
            }
            message::BootstrapBody::Welcome {
                cluster,
                genesis,
                guest,
            } => (guest == self.profile.id)
                .then_some(bootstrap::BootstrapStep::Join { cluster, genesis }),
        }
    }

    /// Returns the step that creates a group, or `None` while this member may not create one.
    #[must_use]
    pub fn creation_step(&self) -> Option<bootstrap::BootstrapStep> {
        let name = &self.profile.endpoint.name;
        let founder = self.voters.iter().map(|voter| &voter.name).min();
        if !self.may_found || founder != Some(name) || self.existing_cluster.is_some() {
            return None;
        }
        let mut profiles = vec![self.profile.clone()];
        for other in self.other_voters() {
            let announced = self.announced_profiles.get(&other.name)?;
            profiles.push(member::MemberProfile {
                id: announced.id,
                endpoint: other.clone(),
            });
        }
        let genesis = member::MembershipList::of_voters(profiles);
        Some(bootstrap::BootstrapStep::Create(genesis))
    }

    fn other_voters(&self) -> impl Iterator<Item = &member::MemberEndpoint> {
        let own_name = &self.profile.endpoint.name;
        self.voters
            .iter()
            .filter(move |voter| voter.name != *own_name)
    }
}
