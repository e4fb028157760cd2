//! [`ThreadParts`].

use std::sync;

use crate::bootstrap;
use crate::core;
use crate::driver;
use crate::storage;

/// What a [`driver::LogThread`] is made of.
pub(super) struct ThreadParts<S: driver::StateMachine, T, B: storage::StorageBackend> {
    pub(super) settings: driver::DriverSettings,
    pub(super) node_settings: core::NodeSettings,
    pub(super) clock: driver::DriverClock,
    pub(super) bootstrap: bootstrap::GroupBootstrap,
    pub(super) opened: storage::OpenedStore<B>,
    pub(super) machine: S,
    pub(super) transport: T,
    pub(super) inbox: crossbeam_channel::Receiver<driver::LogInput<S>>,
    pub(super) view: sync::Arc<driver::SharedView>,
    pub(super) writer: driver::SnapshotWriter,
}
