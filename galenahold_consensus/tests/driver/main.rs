//! Tests of complete members in one process, on a network that can isolate members.

#[path = "../support/fault_backend.rs"]
mod fault_backend;
mod full_disk;
mod leadership;
mod local_group;
mod local_network;
mod member_changes;
mod polling;
mod recovery;
mod text_machine;
