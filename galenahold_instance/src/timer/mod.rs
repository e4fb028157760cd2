//! Periodic timers, the boot clock and the time of day.

mod boot_instant;
mod timer_service;
mod timer_subscription;
mod wall_clock;

pub(crate) use boot_instant::BootInstant;
pub(crate) use timer_service::TimerService;
pub(crate) use timer_subscription::TimerSubscription;
pub(crate) use wall_clock::epoch_ms;
