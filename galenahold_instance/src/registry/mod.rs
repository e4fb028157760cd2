//! The registry of backend servers, and the gossip of their announcements between instances.

mod announcement_api;
mod announcement_gossiper;
mod cache_event_document;
mod departure_recorder;
mod event_log;
mod held_notice;
mod registry_entry;
mod server_registry;

pub(crate) use announcement_api::AnnouncementApi;
pub(crate) use announcement_gossiper::AnnouncementGossiper;
pub(crate) use cache_event_document::CacheEventDocument;
pub(crate) use departure_recorder::DepartureRecorder;
pub(crate) use event_log::EventLog;
pub(crate) use held_notice::HeldNotice;
pub(crate) use registry_entry::RegistryEntry;
pub(crate) use server_registry::ServerRegistry;
