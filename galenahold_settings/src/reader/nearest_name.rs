//! Suggests a known name for an unknown one.

/// Returns the known name with the smallest edit distance to `name`, if the distance is at most a third of
/// the length of `name`, rounded up.
pub(super) fn nearest_name(
    name: &str,
    known: impl Iterator<Item = &'static str>,
) -> Option<&'static str> {
    let allowed = name.chars().count().div_ceil(3);
    known
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_char) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
