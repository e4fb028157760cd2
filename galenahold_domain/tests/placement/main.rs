//! Reservations: memory, replicas and the order of their states.

mod decisions;
mod fixture;
mod states;
