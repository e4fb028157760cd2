//! Request counters of an instance: one ring buffer for each service, team and window.

mod burn_window;
mod objective_counter;
mod objective_counts;
mod objective_recorder;
mod request_measurement;
mod request_outcome;
mod token_gap_counts;
mod window_ring;

pub use burn_window::BurnWindow;
use objective_counter::ObjectiveCounter;
pub use objective_counts::ObjectiveCounts;
pub use objective_recorder::ObjectiveRecorder;
pub use request_measurement::RequestMeasurement;
pub use request_outcome::RequestOutcome;
pub use token_gap_counts::TokenGapCounts;
use window_ring::WindowRing;
