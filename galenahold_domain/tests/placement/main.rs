//! Reservations: memory, replicas and the order of their states.

mod fixture;
mod reservations;
mod states;
