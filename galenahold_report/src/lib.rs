//! galenahold report.
