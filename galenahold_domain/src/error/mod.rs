//! Errors of the domain.

mod domain_error;

pub use domain_error::DomainError;
pub(crate) use domain_error::{
    CommandKindSnafu, CommandVersionSnafu, IntentMalformedSnafu, KeyMalformedSnafu,
    RevisionOutOfOrderSnafu, SnapshotVersionSnafu,
};
