//! The attributes of a request by which a replica is chosen.

use galenahold_domain::{amount, name};

use crate::replica;

/// The attributes of a request that a [`replica::ReplicaChoice`] uses.
#[derive(Debug)]
pub struct ChoiceRequest<'a> {
    /// The model whose prefix caches are matched; absent for a service without models.
    pub model: Option<&'a name::ModelName>,
    /// Tokens that the request is expected to use.
    pub tokens: amount::TokenCount,
    /// Hashes of the prompt's prefix blocks; empty if the prompt has no whole block.
    pub prefix: &'a replica::PrefixBlocks,
}
