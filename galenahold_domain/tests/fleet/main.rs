//! Tests of the roster of backend servers: notices, updates and views.

mod departures;
mod fixture;
mod notices;
mod throttle;
mod views;
