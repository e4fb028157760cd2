//! What really happened at a stand-in, for checks to read.

mod header_record;
mod ledger_snapshot;
mod order_count;
mod placement_kind;
mod placement_record;
mod record_clock;
mod replica_event;
mod replica_use;
mod request_outcome;
mod request_record;
mod server_ledger;

pub use header_record::HeaderRecord;
pub use ledger_snapshot::LedgerSnapshot;
pub use order_count::OrderCount;
pub use placement_kind::PlacementKind;
pub use placement_record::PlacementRecord;
pub(crate) use record_clock::unix_micros;
pub use replica_event::ReplicaEvent;
pub use replica_use::ReplicaUse;
pub use request_outcome::RequestOutcome;
pub use request_record::RequestRecord;
pub(crate) use server_ledger::{RequestKey, ServerLedger};
