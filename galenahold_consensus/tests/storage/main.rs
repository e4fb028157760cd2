//! Tests of the data folder: torn writes, corruption, failed writes, ownership and compaction.

mod corruption;
mod data_folders;
mod failures;
#[path = "../support/fault_backend.rs"]
mod fault_backend;
mod reopening;
mod store_folder;
