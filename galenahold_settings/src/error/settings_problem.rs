//! A single problem in a settings file.

use std::fmt;

use crate::error;

/// A single problem in a settings file, with all parts of its message.
///
/// Its text form is one line; a caller that needs another format uses the fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The kind of the problem.
    pub kind: error::ProblemKind,
    /// The position of the value, of the field's name or, for a missing field, of the enclosing object.
    pub position: error::TextPosition,
    /// The path of the field, such as `peers[1].address`; empty for the file as a whole.
    pub path: String,
    /// The value found, usually quoted from the file.
    pub found: Option<String>,
    /// A description of the allowed values.
    pub allowed: Option<String>,
    /// For an unknown field, the known name with the smallest edit distance.
    pub suggestion: Option<String>,
}

impl SettingsProblem {
    /// Creates a problem without a found value, allowed values or a suggestion.
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

    /// Sets the value found.
    #[must_use]
    pub(crate) fn found(self, found: impl Into<String>) -> Self {
        Self {
            found: Some(found.into()),
            ..self
        }
    }

    /// Sets the description of the allowed values.
    #[must_use]
    pub(crate) fn allowed(self, allowed: impl Into<String>) -> Self {
        Self {
            allowed: Some(allowed.into()),
            ..self
        }
    }

    /// Sets the suggested name.
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
            error::ProblemKind::DuplicateField => write!(formatter, "duplicate field `{path}`")?,
            error::ProblemKind::MissingField => write!(formatter, "field `{path}` is missing")?,
            error::ProblemKind::WrongType => write!(formatter, "`{path}` has the wrong type")?,
            error::ProblemKind::OutOfRange => write!(formatter, "`{path}` is out of range")?,
            error::ProblemKind::InvalidValue => write!(formatter, "`{path}` is not valid")?,
            error::ProblemKind::Inconsistency => write!(formatter, "`{path}` is inconsistent")?,
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
