//! The number that orders the orders of successive leaders.

use std::str;

/// Header that carries the fencing number of an order.
pub(crate) const FENCING_HEADER: &str = "x-fencing-number";

/// Term and log index of an order, compared in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingNumber {
    /// The leader's term.
    pub term: u64,
    /// The index of the commit.
    pub index: u64,
}

impl FencingNumber {
    /// Reads the number of an order; `None` without one or for another form.
    pub(crate) fn from_headers(headers: &http::HeaderMap) -> Option<Self> {
        headers.get(FENCING_HEADER)?.to_str().ok()?.parse().ok()
    }
}

impl str::FromStr for FencingNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, index) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self {
            term: term.parse()?,
            index: index.parse()?,
        })
    }
}
