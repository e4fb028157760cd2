//! The schema of the settings, from which the reader validates files and the reference page is generated.

mod default_value;
mod field_description;
mod field_requirement;
mod group_description;
mod number_unit;
mod reference_page;
mod value_kind;

pub(crate) use default_value::DefaultValue;
pub(crate) use field_description::FieldDescription;
pub(crate) use field_requirement::FieldRequirement;
pub(crate) use group_description::GroupDescription;
pub(crate) use number_unit::NumberUnit;
pub use reference_page::ReferencePage;
pub(crate) use value_kind::ValueKind;
