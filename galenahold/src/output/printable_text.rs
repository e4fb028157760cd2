//! A text from elsewhere, safe to print on a terminal.

use std::fmt;

/// A text from elsewhere, safe to print on a terminal: control characters are escaped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrintableText<'a>(pub(crate) &'a str);

impl fmt::Display for PrintableText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for char in self.0.chars() {
            match char {
                '\n' | '\'' | '"' | '\\' => write!(formatter, "{char}")?,
                _ => write!(formatter, "{}", char.escape_debug())?,
            }
        }
        Ok(())
    }
}
