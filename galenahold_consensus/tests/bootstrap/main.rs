//! Founding a group once.

mod founders;
