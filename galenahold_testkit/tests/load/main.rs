//! Promises of the load tool.

mod runs;
mod traces;
