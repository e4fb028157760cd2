//! The configuration cache, the watcher that keeps it fresh, and the server for instances that follow it.

mod configuration_cache;
mod configuration_watcher;
mod roster_sink;
mod update_error;
mod watch_server;

pub(crate) use configuration_cache::{ConfigurationCache, ConfirmedUpdate};
pub(crate) use configuration_watcher::{ConfigurationWatcher, WatchSources};
pub(crate) use roster_sink::{NoRoster, RosterSink};
pub(crate) use update_error::UpdateError;
pub(crate) use watch_server::WatchServer;
