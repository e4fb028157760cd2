//! The load and speed of backend servers over all entry instances, as soft state.
//!
//! Workload: many entry instances call the same few slots of engines, and engines and models differ in
//! speed. Without the others' calls, each instance sees a free server where all slots are taken.
//!
//! Entry instances report what their own calls use ([`UseReporter`]); the leader sums it up
//! ([`FleetLoadTable`]), estimates speeds ([`PaceEstimator`]) and sends changes back ([`LoadUpdate`]), which
//! an instance keeps in a [`LoadView`]. Every value is a hint that may be seconds old.

mod call_work;
mod fleet_load_table;
mod gap_observer;
mod load_column;
mod load_level;
mod load_rows;
mod load_update;
mod load_version;
mod load_view;
mod model_pace;
mod pace_estimator;
mod pace_level;
mod pace_sample;
mod server_load;
mod server_use;
mod use_amounts;
mod use_reporter;
mod view_decay;

pub use call_work::CallWork;
pub use fleet_load_table::FleetLoadTable;
pub use gap_observer::GapObserver;
pub use load_column::LoadColumn;
pub use load_level::LoadLevel;
pub use load_rows::{BaseRow, ModelRow, ServerRow};
pub use load_update::LoadUpdate;
pub use load_version::LoadVersion;
pub use load_view::LoadView;
pub use model_pace::ModelPace;
pub use pace_estimator::PaceEstimator;
pub use pace_level::PaceLevel;
pub use pace_sample::PaceSample;
pub use server_load::ServerLoad;
pub use server_use::ServerUse;
use use_amounts::UseAmounts;
pub use use_reporter::UseReporter;
pub use view_decay::ViewDecay;
