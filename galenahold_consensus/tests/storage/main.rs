//! The data folder: torn and damaged files, failed writes, foreign and emptied folders.

mod corruption;
mod data_folders;
mod failures;
#[path = "../support/fault_backend.rs"]
mod fault_backend;
mod store_folder;
