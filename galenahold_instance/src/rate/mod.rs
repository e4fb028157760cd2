//! The tokens that this instance may spend for its teams.

mod charge_patience;
mod rate_keeper;
mod token_charge;
mod waiting_room;

pub(crate) use charge_patience::ChargePatience;
pub(crate) use rate_keeper::RateKeeper;
pub(crate) use token_charge::TokenCharge;
pub(crate) use waiting_room::WaitingRoom;
