//! Tests of retries and admission.

mod admission_rule;
mod retry_rules;
