//! The weight store of a fleet, rate-limited and shared by all engines.

mod store_process;
mod store_server;
mod store_settings;
mod store_target;
mod weight_store;

pub use store_process::StoreProcess;
pub(crate) use store_server::FetchKind;
pub use store_settings::StoreSettings;
pub use store_target::StoreTarget;
pub use weight_store::{StoreCounts, WeightStore};
