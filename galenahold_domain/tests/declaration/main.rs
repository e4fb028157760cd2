//! Tests of declared configurations.

mod document_numbers;
mod faults;
mod fixture;
mod lookups;
mod reviews;
