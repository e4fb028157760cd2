//! Comparison of two sorted lists of named parts.

use std::cmp;

use crate::intent;

/// A difference in one named part between two lists.
#[derive(Debug)]
pub(crate) enum PartDifference<'a, P> {
    /// The part is in the second list only.
    Added(&'a P),
    /// The part is in both lists with different content: before and after.
    Changed(&'a P, &'a P),
    /// The part is in the first list only.
    Removed(&'a P),
}

/// Returns the differences between two lists, both of which must be sorted by name.
pub(crate) fn part_differences<'a, P: intent::NamedPart>(
    before: &'a [P],
    after: &'a [P],
) -> Vec<PartDifference<'a, P>> {
    let mut differences = Vec::new();
    let mut old = before.iter().peekable();
    let mut new = after.iter().peekable();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return differences,
            (Some(_), None) => cmp::Ordering::Less,
            (None, Some(_)) => cmp::Ordering::Greater,
            (Some(old), Some(new)) => old.part_name().cmp(new.part_name()),
        };
        match order {
            cmp::Ordering::Less => differences.extend(old.next().map(PartDifference::Removed)),
            cmp::Ordering::Greater => differences.extend(new.next().map(PartDifference::Added)),
            cmp::Ordering::Equal => differences.extend(changed_part(old.next(), new.next())),
        }
    }
}

/// Returns the difference between two parts of the same name, if their content differs.
fn changed_part<'a, P: intent::NamedPart>(
    old: Option<&'a P>,
    new: Option<&'a P>,
) -> Option<PartDifference<'a, P>> {
    let (old, new) = (old?, new?);
    (old != new).then_some(PartDifference::Changed(old, new))
}
