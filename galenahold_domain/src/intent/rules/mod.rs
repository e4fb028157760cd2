//! The rules for a valid intent, with one module for each part of the document.
//!
//! The replicated state stores the texts of the problems, so they must not differ between voters.

mod model_rules;
mod name_rules;
mod path_rules;
mod problem_list;
mod service_rules;
mod store_rules;
mod team_rules;

pub(crate) use model_rules::check_models;
use name_rules::check_name;
use path_rules::path_problem;
pub(crate) use problem_list::ProblemList;
pub(crate) use service_rules::check_services;
pub(crate) use store_rules::check_store;
pub(crate) use team_rules::check_teams;
