//! Callers' keys: stored as salted hashes, shown once.

mod key_record;

pub use key_record::KeyRecord;
