//! Callers' keys, of which only salted hashes are stored; a key is shown once, when it is created.

mod caller_key;
mod key_record;
mod key_table;

pub use caller_key::CallerKey;
pub use key_record::KeyRecord;
pub use key_table::KeyTable;
