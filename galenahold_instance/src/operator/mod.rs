//! The HTTP API for operators, which forwards authenticated calls to the leader.

mod burn_collector;
mod operator_api;
mod operator_authenticator;
mod operator_documents;
mod operator_key;

pub(crate) use burn_collector::BurnCollector;
pub(crate) use operator_api::{LocalBurn, OperatorApi};
pub(crate) use operator_authenticator::{
    OperatorAuthenticator, OperatorIdentity, bearer_text, hexadecimal,
};
pub(crate) use operator_documents::{
    ConfirmDocument, GiveKeyDocument, MemberDocument, PlanDocument, WithdrawKeyDocument,
};
pub(crate) use operator_key::derive_key;
