//! Data folders that a group's member can add as learners.

use std::collections;
use std::time;

use crate::core;
use crate::member;

/// Data folders that belong to no group and have recently sent a greeting to join this one.
#[derive(Debug, Clone, Default)]
pub struct JoinerTable {
    joiners: collections::BTreeMap<member::MemberName, JoinerRecord>,
}

#[derive(Debug, Clone)]
struct JoinerRecord {
    profile: member::MemberProfile,
    greeted_at: core::MonotonicTime,
}

impl JoinerTable {
    const CAPACITY: usize = 64;
    const GREETING_TIMEOUT: time::Duration = time::Duration::from_secs(2);

    /// Records a greeting; a later data folder with the same name replaces the earlier one.
    pub fn record(&mut self, profile: member::MemberProfile, now: core::MonotonicTime) {
        self.joiners
            .retain(|_, joiner| now.since(joiner.greeted_at) < Self::GREETING_TIMEOUT);
        let name = profile.endpoint.name.clone();
        let known = self.joiners.contains_key(&name);
        if known || self.joiners.len() < Self::CAPACITY {
            let joiner = JoinerRecord {
                profile,
                greeted_at: now,
            };
            self.joiners.insert(name, joiner);
        }
    }

    /// Removes the data folders that have become members.
    pub fn remove_members(&mut self, list: &member::MembershipList) {
        self.joiners
            .retain(|_, joiner| !list.contains(joiner.profile.id));
    }

    /// Returns the data folders that have sent a greeting recently.
    #[must_use]
    pub fn current(&self, now: core::MonotonicTime) -> Vec<member::MemberProfile> {
        self.joiners
            .values()
            .filter(|joiner| now.since(joiner.greeted_at) < Self::GREETING_TIMEOUT)
            .map(|joiner| joiner.profile.clone())
            .collect()
    }
}
