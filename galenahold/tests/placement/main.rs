//! What is loaded where, with real processes: no more than was decided, never over the memory.

mod adapters;
mod cold_burst;
mod deposed_leader;
mod engine_faults;
mod first_intent;
mod fleet_setup;
mod loaded_notices;
mod memory_pressure;
