//! Validation rules for path prefixes.

const MAX_PATH_BYTES: usize = 256;

/// The first segment of the paths that serve models.
const MODELS_SEGMENT: &str = "v1";

/// Returns the requirement that the path prefix of a plain service does not meet, or `None` if the
/// prefix is valid.
pub(crate) fn path_problem(prefix: &str) -> Option<&'static str> {
    if prefix.len() > MAX_PATH_BYTES {
        return Some("must have 256 bytes at most");
    }
    let Some(rest) = prefix.strip_prefix('/') else {
        return Some("must begin with `/`");
    };
    if rest.is_empty() {
        return Some("must not cover all paths");
    }
    if rest.split('/').any(|segment| !is_valid_segment(segment)) {
        return Some(
            "must have segments of letters, digits and `-._~` that are not empty, `.` or `..`",
        );
    }
    let first = rest.split('/').next().unwrap_or_default();
    if first.eq_ignore_ascii_case(MODELS_SEGMENT) {
        return Some("must not shadow `/v1`, which serves models");
    }
    None
}

fn is_valid_segment(segment: &str) -> bool {
    let is_empty_or_dots = matches!(segment, "" | "." | "..");
    !is_empty_or_dots && segment.bytes().all(is_unreserved)
}

/// Returns whether a byte is an unreserved character according to RFC 3986.
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}
