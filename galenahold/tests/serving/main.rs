//! Tests of the binary as one instance: it serves operators and stops in order.

mod operating;
mod running_instance;
