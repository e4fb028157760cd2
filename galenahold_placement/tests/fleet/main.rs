//! Promises on what engines of declared services load and unload.

mod adapters;
mod fixture;
mod loads;
mod order_queues;
mod store_loads;
