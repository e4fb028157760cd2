//! Instances that take their configuration from other entry instances.

mod relay_chain;
