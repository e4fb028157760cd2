//! Takes failing backend servers out of service for a while.

mod breaker_settings;
mod circuit_breaker;

pub use breaker_settings::BreakerSettings;
pub use circuit_breaker::CircuitBreaker;
