//! Parses a settings text, validates it against the schema and collects all problems.

mod consistency_check;
mod document_text;
mod nearest_name;
mod parsed_field;
mod parsed_group;
mod parsed_value;
mod settings_reader;

pub(crate) use consistency_check::ConsistencyCheck;
pub use document_text::parse_document;
use nearest_name::nearest_name;
pub(crate) use parsed_field::ParsedField;
pub(crate) use parsed_group::ParsedGroup;
pub(crate) use parsed_value::ParsedValue;
pub(crate) use settings_reader::SettingsReader;
