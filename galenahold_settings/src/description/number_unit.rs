//! Units of number fields.

use std::fmt;

/// The unit of a number field.
#[derive(Debug, Clone, Copy)]
pub(crate) enum NumberUnit {
    /// A plain count.
    Count,
    Bytes,
    Milliseconds,
    Seconds,
    /// Parts per hundred.
    PerCent,
    /// Parts per million.
    PerMillion,
}

impl fmt::Display for NumberUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Count => "count",
            Self::Bytes => "bytes",
            Self::Milliseconds => "milliseconds",
            Self::Seconds => "seconds",
            Self::PerCent => "per cent",
            Self::PerMillion => "parts per million",
        })
    }
}
