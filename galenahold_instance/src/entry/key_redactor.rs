//! Detection of callers' keys in data that is forwarded to backend servers.

use galenahold_domain::key;

/// Detects callers' keys in forwarded data: the key that the request presented, and any text in the
/// format of a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyRedactor {
    presented: Option<PresentedText>,
}

/// The presented key, kept out of debug output.
#[derive(Clone)]
struct PresentedText(String);

impl std::fmt::Debug for PresentedText {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PresentedText")
    }
}

impl KeyRedactor {
    /// Creates a redactor for a request that presented this text as its key, valid or not.
    pub(crate) fn new(presented: Option<&str>) -> Self {
        Self {
            presented: presented
                .filter(|text| !text.is_empty())
                .map(|text| PresentedText(text.to_owned())),
        }
    }

    /// Returns whether the bytes contain a key.
    pub(crate) fn detects_key(&self, bytes: &[u8]) -> bool {
        if let Some(PresentedText(key)) = &self.presented
            && contains(bytes, key.as_bytes())
        {
            return true;
        }
        has_key_format(bytes)
    }

    /// Returns whether percent-encoded text contains a key, as it is or decoded.
    pub(crate) fn detects_escaped_key(&self, text: &str) -> bool {
        self.detects_key(text.as_bytes()) || self.detects_key(&unescape(text))
    }

    /// Removes the query parameters that contain a key; `None` if no parameter is left.
    pub(crate) fn redact_query(&self, query: &str) -> Option<String> {
        let kept: Vec<&str> = query
            .split('&')
            .filter(|parameter| !self.detects_escaped_key(parameter))
            .collect();
        if kept.is_empty() {
            return None;
        }
        Some(kept.join("&"))
    }
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    bytes.windows(pattern.len()).any(|window| window == pattern)
}

/// Returns whether any part of the bytes parses as a key.
fn has_key_format(bytes: &[u8]) -> bool {
    let prefix = key::CallerKey::PREFIX.as_bytes();
    let mut rest = bytes;
    while let Some(start) = rest
        .windows(prefix.len())
        .position(|window| window == prefix)
    {
        let candidate = &rest[start..];
        let length = candidate
            .iter()
            .take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'_')
            .count();
        if let Ok(text) = std::str::from_utf8(&candidate[..length])
            && key::CallerKey::parse(text).is_ok()
        {
            return true;
        }
        rest = &candidate[prefix.len()..];
    }
    false
}

/// Decodes percent escapes; invalid escapes are left unchanged.
fn unescape(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut plain = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = bytes
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let Some(byte) = escape {
            plain.push(byte);
            index += 3;
        } else {
            plain.push(bytes[index]);
            index += 1;
        }
    }
    plain
}
