//! A member that is missing in the leader's list of members.

use std::time;

use galenahold_routing::leader;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Guards against a member that takes the leader's silence after one list for its removal, and clears its data folder.
#[test]
fn absence_lasts_only_while_the_leader_confirms_it() {
    let start = time::Instant::now();
    let mut absence = leader::ListAbsence::default();
    assert!(absence.record_list(false, start));
    assert_eq!(absence.confirmed_for(), time::Duration::ZERO);

    absence.record_confirmation(start + SECOND);
    assert_eq!(absence.confirmed_for(), SECOND);
    assert!(!absence.record_list(false, start + 3 * SECOND));
    assert_eq!(absence.confirmed_for(), SECOND, "a reply confirms the list");
    absence.record_confirmation(start + 3 * SECOND);
    assert_eq!(absence.confirmed_for(), 3 * SECOND);

    assert!(absence.record_list(true, start + 4 * SECOND));
    absence.record_confirmation(start + 9 * SECOND);
    assert_eq!(absence.confirmed_for(), time::Duration::ZERO);
}
