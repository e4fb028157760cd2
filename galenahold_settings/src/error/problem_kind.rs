//! Kinds of problems in a settings file.

/// The kind of a problem in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not valid JSON with comments, or the document does not have the expected structure.
    Syntax,
    /// The field is not part of the schema.
    UnknownField,
    /// The field appears twice in one object.
    DuplicateField,
    /// A required field is missing.
    MissingField,
    /// The type of the value is not that of the field.
    WrongType,
    /// The number is below the minimum or above the maximum.
    OutOfRange,
    /// The field does not accept this text.
    InvalidValue,
    /// The value is inconsistent with the value of another field or with a rule across fields.
    Inconsistency,
}
