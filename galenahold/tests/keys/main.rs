//! Keys that are withdrawn from callers who are still connected.

mod fleet_setup;
mod withdrawn_keys;
