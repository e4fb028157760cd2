//! Instance of a declared fleet: bootstraps its control group from seeds, takes the operator's
//! documents and the notices of backend servers, and forwards callers' requests by routes. A
//! declared fleet is configured by a single document that states its whole configuration.
//!
//! A [`FleetDialect`] translates between a platform's messages and the gateway's types; it makes no
//! decisions.

mod control;
mod declaration_cache;
mod dialect;
mod entry;
mod gateway_error;
mod gateway_instance;
mod gateway_settings;
mod gateway_wiring;

pub use dialect::{
    AnswerIdentity, AnswerMetadata, AttemptMetadata, CallMetadata, CallSizes, ControlRequest,
    DialectError, FleetDialect, OrderMetadata, PromptPart,
};
pub use gateway_error::GatewayError;
pub use gateway_instance::GatewayInstance;
pub use gateway_settings::GatewaySettings;

use declaration_cache::DeclarationCache;
use gateway_wiring::GatewayWiring;
