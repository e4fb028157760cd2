//! Tests of how an instance finds the leader.

mod searches;
mod views;
