//! Tests of the message format.

mod versions;
