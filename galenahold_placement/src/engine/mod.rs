//! Placement engine: a step function from events to commits and orders.

mod apply_announcement;
mod apply_demand;
mod apply_order;
mod apply_reservation;
mod artifact_catalog;
mod artifact_entry;
mod artifact_key;
mod engine_settings;
mod eviction_planner;
mod idle_index;
mod instance_entry;
mod load_planner;
mod order_outcome;
mod order_state;
mod placement_effect;
mod placement_engine;
mod placement_event;
mod placement_policies;
mod placement_state;
mod replica_drainer;
mod reservation_entry;
mod reservation_table;
mod server_entry;
mod server_inventory;
mod server_key;
mod store_charge;
mod team_loads;

pub use engine_settings::EngineSettings;
pub use order_outcome::OrderOutcome;
pub use placement_effect::PlacementEffect;
pub use placement_engine::PlacementEngine;
pub use placement_event::PlacementEvent;
pub use placement_policies::PlacementPolicies;
