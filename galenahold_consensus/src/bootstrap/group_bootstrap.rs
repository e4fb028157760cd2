//! [`GroupBootstrap`].

use std::collections;
use std::time;

use crate::bootstrap;
use crate::core;
use crate::member;
use crate::message;

/// The part of a data folder's life before it belongs to a group, as a step function.
///
/// Only the voter with the lowest name founds a group, and only while the data folders of all
/// voters say that they belong to none. A folder joins one group, durably and for ever.
/// So even if the founder loses its folder halfway and starts again, no two groups reach a quorum:
/// each quorum would need a voter that the other one also needs.
#[derive(Debug, Clone)]
pub struct GroupBootstrap {
    profile: member::MemberProfile,
    voters: Vec<member::MemberEndpoint>,
    greeted_profiles: collections::BTreeMap<member::MemberName, member::MemberProfile>,
    existing_cluster: Option<member::ClusterId>,
    may_found: bool,
    next_greeting_at: core::MonotonicTime,
    interval: time::Duration,
}

impl GroupBootstrap {
    /// Starts for a data folder and the voters that the settings name.
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
            greeted_profiles: collections::BTreeMap::new(),
            existing_cluster: None,
            may_found: true,
            next_greeting_at: now,
        }
    }

    /// Sets whether the folder may found a group, or only join one.
    #[must_use]
    pub fn with_may_found(mut self, may_found: bool) -> Self {
        self.may_found = may_found;
        self
    }

    /// Returns a group that exists and to which the folder doesn't belong, where one was met.
    #[must_use]
    pub fn existing_cluster(&self) -> Option<member::ClusterId> {
        self.existing_cluster
    }

    /// Returns the endpoints to greet now.
    pub fn greeting_targets(&mut self, now: core::MonotonicTime) -> Vec<member::MemberEndpoint> {
        if now < self.next_greeting_at {
            return Vec::new();
        }
        self.next_greeting_at = now + self.interval;
        self.other_voters().cloned().collect()
    }

    /// Returns the body of a greeting.
    #[must_use]
    pub fn greeting(&self) -> message::BootstrapBody {
        message::BootstrapBody::Greeting(self.profile.clone())
    }

    /// Takes in a message.
    pub fn receive(&mut self, body: message::BootstrapBody) -> Option<bootstrap::BootstrapStep> {
        match body {
            message::BootstrapBody::Greeting(profile) => {
                self.greeted_profiles
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

    /// Returns the step to found a group, once this folder may.
    #[must_use]
    pub fn creation_step(&self) -> Option<bootstrap::BootstrapStep> {
        let name = &self.profile.endpoint.name;
        let founder = self.voters.iter().map(|voter| &voter.name).min();
        if !self.may_found || founder != Some(name) || self.existing_cluster.is_some() {
            return None;
        }
        let mut profiles = vec![self.profile.clone()];
        for other in self.other_voters() {
            let greeted_profiles = self.greeted_profiles.get(&other.name)?;
            profiles.push(member::MemberProfile {
                id: greeted_profiles.id,
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
