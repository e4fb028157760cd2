//! Instances of different versions understand each other's messages.

mod version_skew;
