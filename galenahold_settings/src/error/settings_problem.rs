//! One problem of a settings file.

use std::fmt;

use crate::error;

/// One problem of a settings file, with all that a message about it may say.
///
/// Its text form is one line; a caller that wants another form reads the parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The kind.
    pub kind: error::ProblemKind,
    /// Where the value, the field's name or, for a missing field, its object stands.
    pub position: error::TextPosition,
    /// The path of the field, such as `peers[1].address`; empty for the file as a whole.
    pub path: String,
    /// What stands there, as in the file.
    pub found: Option<String>,
    /// What is allowed instead.
    pub allowed: Option<String>,
    /// The nearest known name, where the name is unknown.
    pub suggestion: Option<String>,
}

impl SettingsProblem {
    /// Describes a problem by its kind, its position and the field's path.
    pub(crate) fn new(
        kind: error::ProblemKind,
        position: error::TextPosition,
        path: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            position,
            path: path.into(),
            found: None,
            allowed: None,
            suggestion: None,
        }
    }

    /// Tells what stands there.
    #[must_use]
    pub(crate) fn found(self, found: impl Into<String>) -> Self {
        Self {
            found: Some(found.into()),
            ..self
        }
    }

    /// Tells what is allowed.
    #[must_use]
    pub(crate) fn allowed(self, allowed: impl Into<String>) -> Self {
        Self {
            allowed: Some(allowed.into()),
            ..self
        }
    }

    /// Tells the nearest known name.
    #[must_use]
    pub(crate) fn suggestion(self, suggestion: Option<String>) -> Self {
        Self { suggestion, ..self }
    }
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match self.kind {
            error::ProblemKind::Syntax => {
                formatter.write_str("cannot be read as JSON with comments")?;
            }
            error::ProblemKind::UnknownField => write!(formatter, "unknown field `{path}`")?,
            error::ProblemKind::DuplicateField => write!(formatter, "field `{path}` stands twice")?,
            error::ProblemKind::MissingField => write!(formatter, "field `{path}` is missing")?,
            error::ProblemKind::WrongType => write!(formatter, "`{path}` has the wrong type")?,
            error::ProblemKind::OutOfRange => write!(formatter, "`{path}` is out of range")?,
            error::ProblemKind::InvalidValue => write!(formatter, "`{path}` is not valid")?,
            error::ProblemKind::Contradiction => write!(formatter, "`{path}` contradicts")?,
        }
        if let Some(found) = &self.found {
            write!(formatter, ": {found}")?;
        }
        if let Some(suggestion) = &self.suggestion {
            write!(formatter, "; did you mean `{suggestion}`?")?;
        }
        if let Some(allowed) = &self.allowed {
            write!(formatter, "; allowed: {allowed}")?;
        }
        Ok(())
    }
}
