//! Messages between instances: those of different versions understand each other, and packed ones come back whole.

mod packing;
mod version_skew;
