//! The beginnings of a prompt's text by which deadly prompts are recognized.

use galenahold_domain::crash;

use crate::crash::call_keys as keys;
use crate::replica;

/// Returns keys of a prompt's text: of its beginnings of 1, 2, 4 and so on blocks, and of the whole.
///
/// Prompts with a common beginning share the keys up to its length.
#[must_use]
pub fn prompt_keys(text: &str, prefix: &replica::PrefixBlocks) -> Vec<crash::PromptKey> {
    let hashes = prefix.hashes();
    let lengths = std::iter::successors(Some(1_usize), |length| length.checked_mul(2));
    let beginnings = lengths.map_while(|length| hashes.get(length - 1).copied());
    let whole = keys::digest(&[text.as_bytes()]);
    beginnings
        .chain([whole])
        .map(crash::PromptKey::of_part)
        .collect()
}
