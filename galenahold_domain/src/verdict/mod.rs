//! Whether a request may have run.

mod request_verdict;

pub use request_verdict::RequestVerdict;
