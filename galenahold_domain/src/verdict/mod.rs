//! The verdict on whether a failed request may have run.

mod request_verdict;

pub use request_verdict::RequestVerdict;
