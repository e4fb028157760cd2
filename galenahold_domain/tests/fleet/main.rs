//! Promises on the roster of backend servers.

mod fixture;
mod notices;
mod throttle;
mod views;
