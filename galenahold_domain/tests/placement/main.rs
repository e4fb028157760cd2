//! Tests of the reservation table: limits on memory and replicas, and transitions between states.

mod fixture;
mod reservations;
mod states;
