//! Numbers with their units: amounts, rates, and the numbers of revisions and incarnations.

mod byte_count;
mod fencing_number;
mod incarnation_floors;
mod incarnation_number;
mod revision_number;
mod token_count;
mod tokens_per_second;

pub use byte_count::ByteCount;
pub use fencing_number::FencingNumber;
pub(crate) use incarnation_floors::IncarnationFloors;
pub use incarnation_number::IncarnationNumber;
pub use revision_number::RevisionNumber;
pub use token_count::TokenCount;
pub use tokens_per_second::TokensPerSecond;
