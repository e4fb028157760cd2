//! Periodic timers and the boot clock.

mod boot_instant;
mod timer_service;
mod timer_subscription;

pub(crate) use boot_instant::BootInstant;
pub(crate) use timer_service::TimerService;
pub(crate) use timer_subscription::TimerSubscription;
