//! The loss of trust in an old load view.

use std::time;

/// How much a load counts that was summed up some time ago.
///
/// Updates arrive about once a second, so that a load counts in full for that long. Then it falls to half at
/// two seconds and to zero at six: an instance without a leader goes back to its own counts.
#[derive(Debug)]
pub struct ViewDecay;

impl ViewDecay {
    /// Age up to which a load counts in full.
    const FULL_AGE: time::Duration = time::Duration::from_secs(1);

    /// Age at which a load counts half.
    const HALF_AGE: time::Duration = time::Duration::from_secs(2);

    /// Age from which a load does not count.
    const ZERO_AGE: time::Duration = time::Duration::from_secs(6);

    /// Returns the weight of a load of this age, from one to zero.
    #[must_use]
    pub fn weight(age: time::Duration) -> f64 {
        let part_left = |from: time::Duration, to: time::Duration| {
            let left = to.saturating_sub(age).as_secs_f64();
            (left / to.saturating_sub(from).as_secs_f64()).clamp(0.0, 1.0)
        };
        if age <= Self::HALF_AGE {
            0.5 + 0.5 * part_left(Self::FULL_AGE, Self::HALF_AGE)
        } else {
            0.5 * part_left(Self::HALF_AGE, Self::ZERO_AGE)
        }
    }
}
