//! What kind of problem a settings file has at a place.

/// What kind of problem a settings file has at a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text is not JSON with comments, or not a document of the wanted form.
    Syntax,
    /// The reader does not know the field.
    UnknownField,
    /// The field stands twice in one object.
    DuplicateField,
    /// A field that has to be there is not.
    MissingField,
    /// The value has another type than the field.
    WrongType,
    /// The number is too small or too great.
    OutOfRange,
    /// The text of the value is not one that the field takes.
    InvalidValue,
    /// The value cannot go together with that of another field.
    Contradiction,
}
