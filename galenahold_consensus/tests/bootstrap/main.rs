//! Tests that initial voters bootstrap exactly one group.

mod group_bootstrap;
