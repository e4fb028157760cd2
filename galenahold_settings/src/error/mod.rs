//! Errors of reading settings: the problem, its position and the allowed values.

mod problem_kind;
mod settings_error;
mod settings_error_kind;
mod settings_problem;
mod text_position;

pub use problem_kind::ProblemKind;
pub use settings_error::SettingsError;
pub(crate) use settings_error::UnreadableSnafu;
pub use settings_error_kind::SettingsErrorKind;
pub use settings_problem::SettingsProblem;
pub use text_position::TextPosition;
