//! galenahold consensus.
