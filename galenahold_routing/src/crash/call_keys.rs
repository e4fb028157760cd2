//! The keys by which a call is recognized at crashes of backend servers.

use galenahold_domain::crash;
use sha2::Digest;

/// The keys of one call: those of the parts of its prompt that other calls may share, and that of the
/// request itself.
///
/// Two attempts are the same request if the same team sends the same content, whatever ids they carry
/// and whichever instances they come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallKeys {
    /// The parts, and the request as the last one.
    keys: Vec<crash::PromptKey>,
}

impl CallKeys {
    /// Creates the keys of a request of `team`, whose content is all that decides what it asks for.
    #[must_use]
    pub fn new(parts: Vec<crash::PromptKey>, team: &str, content: &[&[u8]]) -> Self {
        let mut keys = parts;
        keys.push(crash::PromptKey::of_request(
            digest(&[team.as_bytes()]),
            digest(content),
        ));
        Self { keys }
    }

    /// Returns the keys of the parts and of the request.
    #[must_use]
    pub fn all(&self) -> &[crash::PromptKey] {
        &self.keys
    }

    /// Returns the keys of the parts, in the order of the prompt.
    #[must_use]
    pub fn parts(&self) -> &[crash::PromptKey] {
        &self.keys[..self.keys.len() - 1]
    }

    /// Returns the key of the request.
    #[must_use]
    pub fn request(&self) -> crash::PromptKey {
        self.keys[self.keys.len() - 1]
    }
}

/// Returns the first bytes of a digest of the fields, each preceded by its length.
pub(super) fn digest(fields: &[&[u8]]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let digest = hasher.finalize();
    u64::from_be_bytes(std::array::from_fn(|index| digest[index]))
}
