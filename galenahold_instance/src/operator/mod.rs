//! The operators' HTTP face, which passes authenticated calls on to the leader.

mod burn_collector;
mod operator_documents;
mod operator_face;
mod operator_gate;
mod operator_key;

pub(crate) use burn_collector::BurnCollector;
pub(crate) use operator_documents::{
    ConfirmDocument, GiveKeyDocument, MemberDocument, PlanDocument, WithdrawKeyDocument,
};
pub(crate) use operator_face::{OperatorFace, OwnBurn};
pub(crate) use operator_gate::{OperatorGate, OperatorPass, bearer_text, hexadecimal};
pub(crate) use operator_key::derive_key;
