//! The lowest incarnations that still count.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::amount;

/// The most names that are kept; beyond it the one that was raised the longest ago goes first.
const MAX_NAMES: usize = 16_384;

/// The lowest incarnation under each name that still counts; those before it have ended.
///
/// Names come and go with processes, so that their number is bounded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IncarnationFloors<N: Ord> {
    floors: collections::BTreeMap<N, IncarnationFloor>,
    raised: u64,
}

/// A floor, and how many were raised before it was.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct IncarnationFloor(amount::IncarnationNumber, u64);

impl<N: Ord + Clone> IncarnationFloors<N> {
    /// Returns floors of zero.
    pub(crate) fn new() -> Self {
        Self {
            floors: collections::BTreeMap::new(),
            raised: 0,
        }
    }

    /// Returns the lowest incarnation that counts.
    pub(crate) fn get(&self, name: &N) -> amount::IncarnationNumber {
        self.floors
            .get(name)
            .map_or(amount::IncarnationNumber::ZERO, |floor| floor.0)
    }

    /// Raises a floor, and drops an old one that `is_needed` does not hold where there are too many.
    pub(crate) fn raise(
        &mut self,
        name: &N,
        incarnation: amount::IncarnationNumber,
        is_needed: impl Fn(&N) -> bool,
    ) {
        if incarnation <= self.get(name) {
            return;
        }
        self.raised += 1;
        let floor = IncarnationFloor(incarnation, self.raised);
        self.floors.insert(name.clone(), floor);
        if self.floors.len() > MAX_NAMES {
            self.drop_oldest(name, is_needed);
        }
    }

    fn drop_oldest(&mut self, raised_name: &N, is_needed: impl Fn(&N) -> bool) {
        let oldest = self
            .floors
            .iter()
            .filter(|(name, _)| *name != raised_name && !is_needed(name))
            .min_by_key(|(_, floor)| floor.1)
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.floors.remove(&oldest);
        }
    }
}

impl<N: Ord + Clone> Default for IncarnationFloors<N> {
    fn default() -> Self {
        Self::new()
    }
}
