//! Balancing by prefix cache contents, with bounded load.

use std::collections;

use galenahold_domain::{name, server};

use crate::replica;
use crate::replica::prefix_view::PrefixView;

const DEFAULT_LOAD_PERCENT: u32 = 110;
const DEFAULT_SLACK_TOKENS: f64 = 512.0;
/// Number of leading blocks whose hash selects a replica if no block is known to be cached.
const RENDEZVOUS_BLOCKS: usize = 4;

// Multipliers of the SplitMix64 finalizer.
const MIX_FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_SECOND: u64 = 0x94d0_49bb_1331_11eb;

/// Picks the replica that caches most of the prompt's prefix, among those whose load is within a bound.
///
/// Cache events report which blocks a backend server stores and removes. If no server is known to hold a
/// block of the prompt, rendezvous hashing of the first blocks sends equal prompts to the same replica.
/// Candidates whose load exceeds a factor of the mean are skipped. Prompts without a whole block are
/// distributed by rotation.
#[derive(Debug)]
pub struct PrefixAffinity {
    load_percent: u32,
    slack_tokens: f64,
    hash_unknown_prompts: bool,
    servers: slotmap::SecondaryMap<replica::ServerKey, CacheState>,
    fallback: replica::BoundedRotation,
}

#[derive(Debug, Default)]
struct CacheState {
    last_sequence: Option<u64>,
    views: collections::BTreeMap<name::ModelName, PrefixView>,
}

impl PrefixAffinity {
    /// Returns a choice that bounds a candidate's load to `load_percent` of the mean plus `slack_tokens`.
    #[must_use]
    pub fn new(load_percent: u32, slack_tokens: f64) -> Self {
        Self {
            load_percent,
            slack_tokens,
            hash_unknown_prompts: true,
            servers: slotmap::SecondaryMap::new(),
            fallback: replica::BoundedRotation::new(load_percent, slack_tokens),
        }
    }

    /// Distributes prompts without a known cached block by rotation instead of rendezvous hashing.
    #[must_use]
    pub fn with_rotation_for_unknown_prompts(mut self) -> Self {
        self.hash_unknown_prompts = false;
        self
    }

    /// Applies a cache event of a backend server.
    ///
    /// An event that is not newer than the last one is dropped. A gap in the sequence clears the view of the
    /// server before the event is applied.
    pub fn apply_cache_event(&mut self, key: replica::ServerKey, event: &server::CacheEvent) {
        let Some(state) = self
            .servers
            .entry(key)
            .map(slotmap::secondary::Entry::or_default)
        else {
            return;
        };
        if state
            .last_sequence
            .is_some_and(|last| event.sequence <= last)
        {
            return;
        }
        let continues = state
            .last_sequence
            .is_some_and(|last| event.sequence == last + 1);
        if !continues {
            state.views.clear();
        }
        state.last_sequence = Some(event.sequence);
        let view = state.views.entry(event.model.clone()).or_default();
        if event.cleared {
            view.clear();
        }
        for block in &event.removed {
            view.remove(*block);
        }
        for block in &event.stored {
            view.store(*block);
        }
    }

    /// Drops the view of a backend server's incarnation.
    pub fn forget(&mut self, key: replica::ServerKey) {
        self.servers.remove(key);
    }

    /// Returns how many leading blocks of a prompt a backend server is known to hold.
    #[must_use]
    pub fn matched(&self, key: replica::ServerKey, request: &replica::ChoiceRequest<'_>) -> usize {
        let view = request
            .model
            .and_then(|model| self.servers.get(key)?.views.get(model));
        view.map_or(0, |view| view.matched(request.prefix.hashes()))
    }

    fn load_bound(&self, candidates: &[replica::ReplicaCandidate], added: f64) -> f64 {
        let total: f64 = candidates.iter().map(|candidate| candidate.tokens).sum();
        let mean = (total + added) / to_float(candidates.len().max(1));
        mean * f64::from(self.load_percent) / 100.0 + self.slack_tokens
    }
}

impl Default for PrefixAffinity {
    fn default() -> Self {
        Self::new(DEFAULT_LOAD_PERCENT, DEFAULT_SLACK_TOKENS)
    }
}

impl replica::ReplicaChoice for PrefixAffinity {
    fn choose<R: rand::Rng>(
        &mut self,
        candidates: &[replica::ReplicaCandidate],
        request: &replica::ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<replica::ReplicaKey> {
        let hashes = request.prefix.hashes();
        if hashes.is_empty() {
            return self.fallback.choose(candidates, request, rng);
        }
        let seed = hashes[hashes.len().min(RENDEZVOUS_BLOCKS) - 1];
        let added = to_float(usize::try_from(request.tokens.0).unwrap_or(usize::MAX));
        let bound = self.load_bound(candidates, added);
        let ranked = candidates
            .iter()
            .filter(|candidate| candidate.tokens <= bound)
            .map(|candidate| RankedCandidate {
                matched: self.matched(candidate.server, request),
                rank: rendezvous(seed, candidate.name_hash),
                key: candidate.key,
            });
        let best = ranked
            .max_by_key(|candidate| (candidate.matched, candidate.rank))
            .filter(|candidate| candidate.matched > 0 || self.hash_unknown_prompts);
        match best {
            Some(candidate) => Some(candidate.key),
            None => self.fallback.choose(candidates, request, rng),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct RankedCandidate {
    matched: usize,
    rank: u64,
    key: replica::ReplicaKey,
}

/// Returns the rendezvous rank of a candidate; each prefix ranks the candidates in a different order.
fn rendezvous(seed: u64, name_hash: u64) -> u64 {
    let mut mixed = seed ^ name_hash;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(MIX_FIRST);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(MIX_SECOND);
    mixed ^ (mixed >> 31)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a load estimate needs no more than 52 bits"
)]
fn to_float(count: usize) -> f64 {
    count as f64
}
