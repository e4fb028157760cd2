//! galenahold instance.
