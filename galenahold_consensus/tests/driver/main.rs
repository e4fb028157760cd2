//! The driver: members in one process, joined by channels that can be cut.

#[path = "../support/fault_backend.rs"]
mod fault_backend;
mod leadership;
mod local_group;
mod local_network;
mod member_changes;
mod polling;
mod recovery;
mod text_machine;
