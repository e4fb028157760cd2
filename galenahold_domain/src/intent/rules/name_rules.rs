//! Validation rules for names.

use crate::intent::rules;

const MAX_NAME_BYTES: usize = 128;

/// The visible characters that would have to be quoted in headers, logs and metrics.
const FORBIDDEN_CHARACTERS: &[u8] = b"\"'`,=\\";

/// Adds a problem if a name is empty, too long or would have to be quoted in headers and logs.
pub(crate) fn check_name(problems: &mut rules::ProblemList, field: &str, name: &str) {
    if name.is_empty() {
        problems.push_text(field, name, "must not be empty");
        return;
    }
    if name.len() > MAX_NAME_BYTES {
        problems.push_text(field, name, "must have 128 bytes at most");
        return;
    }
    if !name.bytes().all(is_allowed) {
        problems.push_text(
            field,
            name,
            "must be visible ASCII without quotes, commas, equals signs and backslashes",
        );
    }
}

fn is_allowed(byte: u8) -> bool {
    byte.is_ascii_graphic() && !FORBIDDEN_CHARACTERS.contains(&byte)
}
