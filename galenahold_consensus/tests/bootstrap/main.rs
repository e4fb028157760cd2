//! Founding a group once.

mod group_bootstrap;
