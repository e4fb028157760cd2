//! The data folder: torn and damaged files, failed writes, foreign and emptied folders.

mod damage;
mod failures;
mod fault_backend;
mod folders;
mod store_folder;
