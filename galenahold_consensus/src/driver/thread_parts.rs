//! Arguments of the log thread's constructor.

use std::sync;

use crate::bootstrap;
use crate::core;
use crate::driver;
use crate::storage;

/// The components from which a [`driver::LogThread`] is built.
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
