//! Tests of how an instance finds the leader.

mod absences;
mod searches;
mod views;
