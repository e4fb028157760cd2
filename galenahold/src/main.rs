//! The galenahold binary.

fn main() {}
