//! The documents of the operators' face and of JSON output.

mod burn_answer;
mod check_answer;
mod configuration_answer;
mod confirm_answer;
mod confirm_request;
mod error_answer;
mod error_body;
mod give_key_answer;
mod give_key_request;
mod member_request;
mod plan_answer;
mod plan_request;
mod refusal_body;
mod refusal_details;
mod refusal_document;
mod revision_answer;
mod withdraw_key_request;

pub(crate) use burn_answer::BurnAnswer;
pub(crate) use check_answer::CheckAnswer;
pub(crate) use configuration_answer::{
    ConfigurationAnswer, ConfigurationDifference, ConfigurationFinding,
};
pub(crate) use confirm_answer::ConfirmAnswer;
pub(crate) use confirm_request::ConfirmRequest;
pub(crate) use error_answer::ErrorAnswer;
pub(crate) use error_body::ErrorBody;
pub(crate) use give_key_answer::GiveKeyAnswer;
pub(crate) use give_key_request::GiveKeyRequest;
pub(crate) use member_request::MemberRequest;
pub(crate) use plan_answer::PlanAnswer;
pub(crate) use plan_request::PlanRequest;
pub(crate) use refusal_body::RefusalBody;
pub(crate) use refusal_details::RefusalDetails;
pub(crate) use refusal_document::RefusalDocument;
pub(crate) use revision_answer::RevisionAnswer;
pub(crate) use withdraw_key_request::WithdrawKeyRequest;
