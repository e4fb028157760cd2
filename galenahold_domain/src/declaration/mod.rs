//! Declared configurations: an operator replaces the whole configuration by a document with a
//! number that the operator assigns.
//!
//! The document with the highest number is in force. The replicated log holds the operator's
//! document unparsed; each instance parses it into a [`FleetDeclaration`] once.

mod call_kind;
mod caller_limits;
mod caller_secret;
mod declaration_difference;
mod declaration_error;
mod declaration_finding;
mod declaration_index;
mod declaration_place;
mod declaration_review;
mod declared_document;
mod declared_engine;
mod declared_field;
mod declared_model;
mod declared_part;
mod declared_route;
mod declared_service;
mod declared_team;
mod difference_kind;
mod difference_table;
mod differing_part;
mod finding_severity;
mod fleet_declaration;
mod route_share;
mod team_charge;

pub use call_kind::CallKind;
pub use caller_limits::CallerLimits;
pub use caller_secret::CallerSecret;
pub use declaration_difference::DeclarationDifference;
pub use declaration_error::DeclarationError;
pub use declaration_finding::DeclarationFinding;
pub use declaration_index::DeclarationIndex;
pub use declaration_place::DeclarationPlace;
pub use declaration_review::DeclarationReview;
pub use declared_document::DeclaredDocument;
pub use declared_engine::DeclaredEngine;
pub use declared_field::DeclaredField;
pub use declared_model::DeclaredModel;
pub use declared_part::DeclaredPart;
pub use declared_route::DeclaredRoute;
pub use declared_service::DeclaredService;
pub use declared_team::DeclaredTeam;
pub use difference_kind::DifferenceKind;
pub use difference_table::declaration_differences;
pub use differing_part::DifferingPart;
pub use finding_severity::FindingSeverity;
pub use fleet_declaration::FleetDeclaration;
pub use route_share::RouteShare;
pub use team_charge::TeamCharge;
