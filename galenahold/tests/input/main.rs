//! Callers that send what they should not, or hold what they do not need.

mod bad_request;
mod bad_requests;
mod held_connections;
mod input_fleet;
