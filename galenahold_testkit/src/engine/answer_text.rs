//! The deterministic output of the engine stand-in.

use std::fmt::Write;

use sha2::Digest;

/// Bytes of prompt text that count as one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// The answer to a prompt, the same on every engine that has the model.
///
/// # Examples
///
/// ```
/// use galenahold_testkit::engine::AnswerText;
///
/// let text = AnswerText::new("llm", "flood mark");
/// assert_eq!(text.text(0, 2), text.token(0) + &text.token(1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerText {
    seed: u64,
}

impl AnswerText {
    /// Bytes of each output token.
    pub const TOKEN_BYTES: usize = 7;

    /// Makes the answer of `model`, or of an adapter, to `prompt`.
    #[must_use]
    pub fn new(model: &str, prompt: &str) -> Self {
        let mut hasher = sha2::Sha256::new();
        hasher.update(model.as_bytes());
        hasher.update([0]);
        hasher.update(prompt.as_bytes());
        let digest = hasher.finalize();
        let mut seed = [0; 8];
        seed.copy_from_slice(&digest[..8]);
        Self {
            seed: u64::from_be_bytes(seed),
        }
    }

    /// Returns the output token at `index`: a space and six hexadecimal digits.
    #[must_use]
    pub fn token(self, index: u64) -> String {
        let mut token = String::with_capacity(Self::TOKEN_BYTES);
        self.write_token(index, &mut token);
        token
    }

    /// Returns the text of `count` tokens from `offset` on.
    #[must_use]
    pub fn text(self, offset: u64, count: u64) -> String {
        let mut text = String::new();
        for index in offset..offset + count {
            self.write_token(index, &mut text);
        }
        text
    }

    /// Returns how many tokens of at most `max_tokens` come, given a natural limit (0 for none).
    #[must_use]
    pub fn token_count(self, max_tokens: u64, natural_limit: u64) -> u64 {
        if natural_limit == 0 {
            return max_tokens;
        }
        max_tokens.min(1 + self.seed % natural_limit)
    }

    /// Returns the tokens that `prompt` counts for.
    #[must_use]
    pub fn prompt_tokens(prompt: &str) -> u64 {
        prompt.len().div_ceil(PROMPT_BYTES_PER_TOKEN).max(1) as u64
    }

    /// Returns the whole tokens in so many bytes of a prompt.
    pub(crate) fn whole_tokens(bytes: usize) -> u64 {
        (bytes / PROMPT_BYTES_PER_TOKEN) as u64
    }

    /// Appends the token at `index`.
    pub(crate) fn write_token(self, index: u64, text: &mut String) {
        let word = mix(self.seed.wrapping_add(index)) & 0x00ff_ffff;
        // Writing to a string cannot fail.
        let _ = write!(text, " {word:06x}");
    }
}

/// Mixes the bits of a counter (the finalizer of `SplitMix64`).
fn mix(counter: u64) -> u64 {
    let mut word = counter.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
