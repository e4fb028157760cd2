//! Circuit breaking for backend servers.

mod breaker_settings;
mod circuit_breaker;

pub use breaker_settings::BreakerSettings;
pub use circuit_breaker::CircuitBreaker;
