//! Tests of the planner for engines of declared services.

mod adapter_hosts;
mod adapters;
mod fixture;
mod load_order;
mod loads;
mod order_queues;
mod popular_models;
mod store_loads;
