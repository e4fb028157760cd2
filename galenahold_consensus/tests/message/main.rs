//! Messages between versions.

mod versions;
