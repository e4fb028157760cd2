//! Calls that may not be repeated, and lookups, while backend servers and instances fail.

mod keyed_orders;
mod lookups;
mod lost_starts;
mod order_fleet;
mod plain_orders;
