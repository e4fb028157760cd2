//! What a choice has to know of a request.

use galenahold_domain::{amount, name};

use crate::replica;

/// What a choice has to know of a request.
#[derive(Debug)]
pub struct ChoiceRequest<'a> {
    /// The model whose prefix cache counts; absent for a plain service.
    pub model: Option<&'a name::ModelName>,
    /// Tokens that the request is expected to take.
    pub tokens: amount::TokenCount,
    /// Hashes of the prompt's prefix blocks; empty where there are none.
    pub prefix: &'a replica::PrefixBlocks,
}
