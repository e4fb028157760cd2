//! Rounding of speeds to steps of ten percent.

use std::time;

use serde::{Deserialize, Serialize};

/// Ratio between two adjacent steps.
const STEP_RATIO: f64 = 1.1;

/// How far a value has to be from its step, in steps, before it moves to another one.
const STEP_TOLERANCE: f64 = 0.75;

/// Code of the factor 1 in a column, in the middle of the codes from 0 to 30.
const CODE_OFFSET: i16 = 15;

/// A speed factor or a time per event in microseconds, rounded to steps of ten percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceLevel(i16);

impl PaceLevel {
    /// Returns the level nearest to a positive value.
    #[must_use]
    pub fn nearest(value: f64) -> Self {
        let steps = value.max(f64::MIN_POSITIVE).ln() / STEP_RATIO.ln();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the float is clamped to the range of the integer"
        )]
        let step = steps
            .round()
            .clamp(f64::from(i16::MIN), f64::from(i16::MAX)) as i16;
        Self(step)
    }

    /// Returns the level for a changed value, which stays the same until the value has clearly left it.
    #[must_use]
    pub fn follow(self, value: f64) -> Self {
        let steps = value.max(f64::MIN_POSITIVE).ln() / STEP_RATIO.ln();
        if (steps - f64::from(self.0)).abs() < STEP_TOLERANCE {
            return self;
        }
        Self::nearest(value)
    }

    /// Returns the value that the level stands for.
    #[must_use]
    pub fn value(self) -> f64 {
        STEP_RATIO.powf(f64::from(self.0))
    }

    /// Returns the code of a speed factor in a column; factors beyond about four count as four.
    pub(super) fn code(self) -> u8 {
        let step = self.0.clamp(-CODE_OFFSET, CODE_OFFSET);
        u8::try_from(step + CODE_OFFSET).unwrap_or(0)
    }

    /// Returns the factor with this code.
    pub(super) fn from_code(code: u8) -> Self {
        Self(i16::from(code) - CODE_OFFSET)
    }

    /// Returns the time that a level of microseconds stands for, an hour at most.
    #[must_use]
    pub fn duration(self) -> time::Duration {
        time::Duration::from_secs_f64((self.value() / 1e6).min(3_600.0))
    }
}
