//! The data folder: torn and damaged files, failed writes, foreign and emptied folders.

mod damage;
mod failures;
#[path = "../support/fault_backend.rs"]
mod fault_backend;
mod folders;
mod store_folder;
