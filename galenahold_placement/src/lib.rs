//! galenahold placement.
