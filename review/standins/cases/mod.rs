//! The cases.

mod replaced_core;

use crate::record::Record;
use crate::Outcome;

pub fn play(case: &str, record: &Record, trouble: &str) -> Outcome {
    match case {
        "replaced-core" => replaced_core::play(record, trouble),
        _ => Outcome::CouldNotRun,
    }
}
