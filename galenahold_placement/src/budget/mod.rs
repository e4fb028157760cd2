//! Cost of loads: limits of the weight store and load time estimates.

mod load_time;
mod store_budget;

pub use load_time::LoadTime;
pub use store_budget::StoreBudget;
