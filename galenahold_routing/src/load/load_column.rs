//! A packed list of changed values.

use serde::de;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bits of a byte that hold the value.
const VALUE_BITS: u32 = 5;

/// A byte without a value, which only leaves out eight numbers.
const SKIP_EIGHT: u8 = u8::MAX;

/// Values of numbered servers, of which those with a value are ordered by number.
///
/// Each value takes one byte: its upper three bits state how many numbers are left out before it, its lower
/// five the value. Messages are too small for the compression of a connection to find this out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadColumn {
    bytes: Vec<u8>,
    next: u16,
}

impl LoadColumn {
    /// The largest value.
    pub const MAX_VALUE: u8 = (1 << VALUE_BITS) - 2;

    /// Returns the number of bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the value of a server, whose number is higher than those before. Larger values than the
    /// largest are lowered to it.
    pub fn push(&mut self, number: u16, value: u8) {
        let mut skipped = number.saturating_sub(self.next);
        while skipped >= 8 {
            self.bytes.push(SKIP_EIGHT);
            skipped -= 8;
        }
        let skipped = u8::try_from(skipped).unwrap_or(0);
        let value = value.min(Self::MAX_VALUE);
        self.bytes.push(skipped << VALUE_BITS | value);
        self.next = number.saturating_add(1);
    }

    /// Iterates over the numbers and values.
    pub fn iter(&self) -> impl Iterator<Item = (usize, u8)> {
        let mut next = 0_usize;
        self.bytes.iter().filter_map(move |byte| {
            if *byte == SKIP_EIGHT {
                next += 8;
                return None;
            }
            let number = next + usize::from(byte >> VALUE_BITS);
            next = number + 1;
            Some((number, byte & ((1 << VALUE_BITS) - 1)))
        })
    }
}

impl Serialize for LoadColumn {
    fn serialize<Target: Serializer>(&self, target: Target) -> Result<Target::Ok, Target::Error> {
        target.serialize_bytes(&self.bytes)
    }
}

impl<'de> Deserialize<'de> for LoadColumn {
    fn deserialize<Source: Deserializer<'de>>(source: Source) -> Result<Self, Source::Error> {
        source.deserialize_bytes(ColumnVisitor)
    }
}

struct ColumnVisitor;

impl de::Visitor<'_> for ColumnVisitor {
    type Value = LoadColumn;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<Error: de::Error>(self, bytes: &[u8]) -> Result<LoadColumn, Error> {
        let mut column = LoadColumn {
            bytes: bytes.to_vec(),
            next: 0,
        };
        let last = column.iter().last();
        let next = last.map_or(0, |(number, _)| number + 1);
        column.next = u16::try_from(next).unwrap_or(u16::MAX);
        Ok(column)
    }
}
