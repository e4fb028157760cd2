//! The whole path, with real processes: from a caller through an instance to a backend server.

mod fleet_setup;
mod plain_service;
mod planned_stop;
mod streamed_answer;
