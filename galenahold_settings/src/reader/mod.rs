//! Reads a settings text against the descriptions and collects all of its problems.

mod contradiction_check;
mod document_text;
mod nearest_name;
mod read_field;
mod read_group;
mod read_value;
mod settings_reader;

pub(crate) use contradiction_check::ContradictionCheck;
pub use document_text::parse_document;
use nearest_name::nearest_name;
pub(crate) use read_field::ReadField;
pub(crate) use read_group::ReadGroup;
pub(crate) use read_value::ReadValue;
pub(crate) use settings_reader::SettingsReader;
