//! The text of one log event.

use std::fmt;
use std::fmt::Write;

use log::kv;

/// The text of one log event: time in UTC, level, module, message and `key=value` fields.
///
/// It is one line whatever the message and the values hold: characters that are not printable are
/// escaped, and a text that could be taken for several fields stands in quotes.
#[derive(Debug)]
pub struct LogLine<'a, Time> {
    time: Time,
    record: &'a log::Record<'a>,
}

impl<'a, Time: fmt::Display> LogLine<'a, Time> {
    /// Describes an event that happened at `time`.
    #[must_use]
    pub fn new(time: Time, record: &'a log::Record<'a>) -> Self {
        Self { time, record }
    }
}

impl<Time: fmt::Display> fmt::Display for LogLine<'_, Time> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = self.record.level();
        let target = self.record.target();
        write!(formatter, "{} {level} {target} ", self.time)?;
        let message = self.record.args().to_string();
        if message.contains(['=', '"']) {
            write_quoted(formatter, &message)?;
        } else {
            write_escaped(formatter, &message)?;
        }
        let mut fields = FieldWriter { formatter };
        self.record
            .key_values()
            .visit(&mut fields)
            .map_err(|_| fmt::Error)
    }
}

/// Writes the fields of an event.
struct FieldWriter<'a, 'b> {
    formatter: &'a mut fmt::Formatter<'b>,
}

impl<'kvs> kv::VisitSource<'kvs> for FieldWriter<'_, '_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.formatter.write_char(' ')?;
        write_escaped(self.formatter, key.as_str())?;
        self.formatter.write_char('=')?;
        let value = value.to_string();
        if is_plain(&value) {
            self.formatter.write_str(&value)?;
        } else {
            write_quoted(self.formatter, &value)?;
        }
        Ok(())
    }
}

/// Tells whether a value needs no quotes.
fn is_plain(value: &str) -> bool {
    let plain = |char: char| char.is_ascii_graphic() && !matches!(char, '"' | '=' | '\\');
    !value.is_empty() && value.chars().all(plain)
}

/// Writes a text, with characters that are not printable escaped.
fn write_escaped(formatter: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    for char in text.chars() {
        match char {
            '\'' | '"' => formatter.write_char(char)?,
            _ => write!(formatter, "{}", char.escape_debug())?,
        }
    }
    Ok(())
}

/// Writes a text in quotes, with quotes and characters that are not printable escaped.
fn write_quoted(formatter: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(formatter, "{text:?}")
}
