//! Limit on the nesting depth of JSON.

/// Returns whether the arrays and objects of a JSON text nest deeper than `max_depth` levels.
///
/// The text need not be valid JSON: brackets in strings are not counted, and other faults are left
/// to the parser.
pub(crate) fn json_depth_exceeds(text: &[u8], max_depth: usize) -> bool {
    let mut depth = 0_usize;
    let mut bytes = text.iter();
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => skip_string(&mut bytes),
            b'[' | b'{' => {
                depth += 1;
                if depth > max_depth {
                    return true;
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    false
}

fn skip_string<'a>(bytes: &mut impl Iterator<Item = &'a u8>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => return,
            b'\\' => {
                bytes.next();
            }
            _ => {}
        }
    }
}
