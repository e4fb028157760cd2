//! galenahold domain.
