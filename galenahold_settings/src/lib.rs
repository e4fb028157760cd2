//! galenahold settings.
