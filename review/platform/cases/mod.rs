//! The cases.

mod left_during_resume;
mod replaced_core;
mod rolled_core;

use std::sync::Arc;

use crate::Outcome;
use crate::record::Record;

pub fn play(case: &str, record: &Arc<Record>, trouble: &str) -> Outcome {
    match case {
        "left-during-resume" => left_during_resume::play(record, trouble),
        "replaced-core" => replaced_core::play(record, trouble),
        "rolled-core" => rolled_core::play(record, trouble),
        _ => Outcome::CouldNotRun,
    }
}
