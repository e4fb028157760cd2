//! Founding: how instances with empty data folders agree on one group, once.

mod founding_step;
mod group_founding;

pub use founding_step::FoundingStep;
pub use group_founding::GroupFounding;
