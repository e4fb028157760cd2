//! Promises on configurations that an operator declares whole.

mod faults;
mod fixture;
mod lookups;
mod numbers;
