//! A stand-in for a plain service that counts how often each order ran.

mod service_api;
mod service_builder;
mod service_core;
mod service_process;
mod service_settings;

pub use service_builder::ServiceBuilder;
pub use service_process::ServiceProcess;
pub use service_settings::ServiceSettings;
