//! What one instance is started with.

use std::path;

use super::InstanceAddresses;
use super::shared_route::SharedRoute;

/// Name, addresses, files and settings of an instance.
#[derive(Debug, Clone)]
pub(crate) struct InstancePlan {
    /// Its name.
    pub(crate) name: String,
    /// Where it listens.
    pub(crate) addresses: InstanceAddresses,
    /// Whether it has a data folder.
    pub(crate) control: bool,
    /// Its folder; settings, log and data folder are in it.
    pub(crate) folder: path::PathBuf,
    /// Its settings.
    pub(crate) settings: serde_json::Value,
    /// Its binary.
    pub(crate) binary: path::PathBuf,
    /// Its ways to other instances by the addresses that all know.
    pub(crate) shared_routes: Vec<SharedRoute>,
    /// Further environment variables.
    pub(crate) environment: Vec<(String, String)>,
}

impl InstancePlan {
    /// Returns the settings file.
    pub(crate) fn settings_file(&self) -> path::PathBuf {
        self.folder.join("settings.json")
    }

    /// Returns the file that takes its log.
    pub(crate) fn log_file(&self) -> path::PathBuf {
        self.folder.join("stderr.log")
    }

    /// Returns the data folder.
    pub(crate) fn data_folder(&self) -> path::PathBuf {
        self.folder.join("data")
    }
}
