//! The error type of this crate and its context selectors.

mod domain_error;

pub use domain_error::DomainError;
pub(crate) use domain_error::{
    CommandKindSnafu, CommandVersionSnafu, IntentMalformedSnafu, KeyMalformedSnafu,
    RevisionOutOfOrderSnafu, SnapshotVersionSnafu,
};
