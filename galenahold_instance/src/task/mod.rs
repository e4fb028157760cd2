//! Ownership of spawned tasks: a parent joins all that it spawned.

mod task_group;

pub(crate) use task_group::TaskGroup;
