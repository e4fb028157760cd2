//! The backend servers of declared services: their notices, and what instances know of them.
//!
//! The control group's leader maintains the [`ServerRoster`] from the servers' notices. Entry
//! instances hold a [`RosterView`] that follows the roster by updates. A view outlives its leader:
//! it keeps its records until the next leader has had time to receive a notice of every server. What
//! the next leader knows from the start are the departures, which the control group commits in its
//! [`DepartureLedger`].

mod departure_ledger;
mod departure_stage;
mod departure_table;
mod held_adapter;
mod held_model;
mod model_loading;
mod notice_outcome;
mod record_change;
mod roster_cursor;
mod roster_throttle;
mod roster_update;
mod roster_view;
mod server_departure;
mod server_notice;
mod server_origin;
mod server_record;
mod server_roster;
mod server_stage;
mod weight_copies;

pub use departure_ledger::DepartureLedger;
pub use departure_stage::DepartureStage;
pub use departure_table::DepartureTable;
pub use held_adapter::HeldAdapter;
pub use held_model::HeldModel;
pub use model_loading::ModelLoading;
pub use notice_outcome::NoticeOutcome;
pub use record_change::RecordChange;
pub use roster_cursor::RosterCursor;
pub use roster_throttle::RosterThrottle;
pub use roster_update::RosterUpdate;
pub use roster_view::RosterView;
pub use server_departure::ServerDeparture;
pub use server_notice::ServerNotice;
pub use server_origin::ServerOrigin;
pub use server_record::ServerRecord;
pub use server_roster::ServerRoster;
pub use server_stage::ServerStage;
pub use weight_copies::WeightCopies;
