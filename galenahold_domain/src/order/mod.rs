//! Orders: non-idempotent requests, each of which runs at most once.

mod order_answer;
mod order_finish;
mod order_key;
mod order_ledger;
mod order_limits;
mod order_outcome;
mod order_owner;
mod order_record;
mod order_start;
mod order_statistics;
mod order_usage;

pub use order_answer::OrderAnswer;
pub use order_finish::OrderFinish;
pub use order_key::OrderKey;
pub use order_ledger::OrderLedger;
pub use order_limits::OrderLimits;
pub use order_outcome::OrderOutcome;
pub use order_owner::OrderOwner;
pub(crate) use order_record::{OrderRecord, RecordEnd};
pub use order_start::OrderStart;
pub use order_statistics::OrderStatistics;
pub use order_usage::OrderUsage;
