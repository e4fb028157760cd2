//! galenahold wire.
