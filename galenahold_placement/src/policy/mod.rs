//! Placement policies: load order, choice of server and keep-alive time.

mod arrival_order;
mod destination;
mod destination_candidate;
mod fair_arrival;
mod fixed_keep_alive;
mod histogram_keep_alive;
mod idle_replica;
mod keep_alive;
mod load_candidate;
mod load_order;
mod nearest_checkpoint;
mod recency_keep_alive;
mod shortest_load;
mod waiting_weighted;
mod worst_fit;

pub use arrival_order::ArrivalOrder;
pub use destination::Destination;
pub use destination_candidate::DestinationCandidate;
pub use fair_arrival::FairArrival;
pub use fixed_keep_alive::FixedKeepAlive;
pub use histogram_keep_alive::HistogramKeepAlive;
pub use idle_replica::IdleReplica;
pub use keep_alive::KeepAlive;
pub use load_candidate::LoadCandidate;
pub use load_order::LoadOrder;
pub use nearest_checkpoint::NearestCheckpoint;
pub use recency_keep_alive::RecencyKeepAlive;
pub use shortest_load::ShortestLoad;
pub use waiting_weighted::WaitingWeighted;
pub use worst_fit::WorstFit;
