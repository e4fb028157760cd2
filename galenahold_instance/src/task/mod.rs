//! Ownership of spawned tasks: the owner of a group joins all tasks that it spawned.

mod task_group;

pub(crate) use task_group::TaskGroup;
