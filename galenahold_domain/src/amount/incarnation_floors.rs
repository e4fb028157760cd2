//! The minimum valid incarnation of each process, below which commands are outdated.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::amount;

/// The maximum number of names; beyond it the floor that was raised the longest ago is dropped.
const MAX_NAMES: usize = 16_384;

/// The minimum valid incarnation under each name; the incarnations before it have ended.
///
/// New names appear as processes are replaced, so the number of kept names is limited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IncarnationFloors<N: Ord> {
    floors: collections::BTreeMap<N, IncarnationFloor>,
    raised: u64,
}

/// A minimum incarnation and its position in the order in which floors were raised.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct IncarnationFloor(amount::IncarnationNumber, u64);

impl<N: Ord + Clone> IncarnationFloors<N> {
    /// Creates an empty table, in which each name has a floor of zero.
    pub(crate) fn new() -> Self {
        Self {
            floors: collections::BTreeMap::new(),
            raised: 0,
        }
    }

    /// Returns the minimum valid incarnation under the name.
    pub(crate) fn get(&self, name: &N) -> amount::IncarnationNumber {
        self.floors
            .get(name)
            .map_or(amount::IncarnationNumber::ZERO, |floor| floor.0)
    }

    /// Raises the floor of the name; a lower or equal incarnation changes nothing.
    ///
    /// If there are then too many names, drops the floor that was raised the longest ago among
    /// those for which `is_needed` returns `false`.
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

    /// Drops the floor that was raised the longest ago, except the one just raised and those needed.
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
