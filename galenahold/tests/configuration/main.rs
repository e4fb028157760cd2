//! Changes of the configuration that operators make at the same time.

mod racing_operators;
