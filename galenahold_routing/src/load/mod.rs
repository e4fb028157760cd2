//! The load and speed of backend servers over all entry instances, as soft state.
//!
//! Entry instances report what their own calls use; the leader sums it up and sends changes back. Every
//! value is a hint that may be seconds old.

mod call_work;
mod pace_sample;
mod server_load;
mod server_use;

pub use call_work::CallWork;
pub use pace_sample::PaceSample;
pub use server_load::ServerLoad;
pub use server_use::ServerUse;
