//! What loads cost: the weight store's limits and the time that a load takes.

mod load_time;
mod store_budget;

pub use load_time::LoadTime;
pub use store_budget::StoreBudget;
