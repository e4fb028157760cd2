//! galenahold routing.
