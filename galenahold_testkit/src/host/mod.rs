//! Runtime and clean-up that the stand-ins share.

mod admin_face;
mod incarnation;
mod standin_host;
mod task_scope;

pub(crate) use admin_face::AdminFace;
pub(crate) use incarnation::next_incarnation;
pub(crate) use standin_host::StandInHost;
pub(crate) use task_scope::TaskScope;
