//! Callers' keys: stored as salted hashes, shown once.

mod caller_key;
mod key_record;
mod key_table;

pub use caller_key::CallerKey;
pub use key_record::KeyRecord;
pub use key_table::KeyTable;
