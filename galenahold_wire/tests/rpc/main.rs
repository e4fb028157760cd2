//! Encoding of messages between instances: compatibility between versions, and compression.

mod compression;
mod version_skew;
