//! Backend servers that announced themselves, and how announcements spread between instances.

mod announcement_face;
mod announcement_spreader;
mod cache_event_document;
mod event_log;
mod held_notice;
mod registry_entry;
mod server_registry;

pub(crate) use announcement_face::AnnouncementFace;
pub(crate) use announcement_spreader::AnnouncementSpreader;
pub(crate) use cache_event_document::CacheEventDocument;
pub(crate) use event_log::EventLog;
pub(crate) use held_notice::HeldNotice;
pub(crate) use registry_entry::RegistryEntry;
pub(crate) use server_registry::ServerRegistry;
