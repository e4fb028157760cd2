//! Runtime and clean-up that the stand-ins share.

mod admin_api;
mod incarnation;
mod standin_host;
mod task_scope;

pub(crate) use admin_api::AdminApi;
pub(crate) use incarnation::next_incarnation;
pub(crate) use standin_host::StandInHost;
pub(crate) use task_scope::TaskScope;
