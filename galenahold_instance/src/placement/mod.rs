//! Carries out the placement's decisions at the leader.

mod placement_driver;

pub(crate) use placement_driver::PlacementDriver;
