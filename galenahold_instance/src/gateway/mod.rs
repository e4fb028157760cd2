//! An instance of a fleet that is declared whole: it founds its control group from seeds, takes the
//! operator's documents and the notices of backend servers, and passes callers' requests on by routes.
//!
//! How the words of a platform stand for these is a [`FleetDialect`], which decides nothing.

mod control;
mod declaration_cache;
mod dialect;
mod entry;
mod gateway_error;
mod gateway_instance;
mod gateway_settings;
mod gateway_wiring;

pub use dialect::{
    AnswerMetadata, AttemptMetadata, CallerCall, ControlRequest, DialectError, FleetDialect,
    OrderMetadata, PromptPart,
};
pub use gateway_error::GatewayError;
pub use gateway_instance::GatewayInstance;
pub use gateway_settings::GatewaySettings;

use declaration_cache::DeclarationCache;
use gateway_wiring::GatewayWiring;
