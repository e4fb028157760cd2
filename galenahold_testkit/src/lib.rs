//! galenahold testkit.
