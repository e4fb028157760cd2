//! A stand-in for a model engine.

mod adapter_body;
mod answer_text;
mod batch_loop;
mod batch_state;
mod block_key;
mod cache_change;
mod cache_publisher;
mod checkpoint_cache;
mod engine_api;
mod engine_builder;
mod engine_core;
mod engine_process;
mod engine_settings;
mod engine_timings;
mod event_body;
mod event_format;
mod event_stream;
mod fencing_number;
mod generation_body;
mod generation_queue;
mod held_model;
mod load_order;
mod model_table;
mod placement_handler;
mod placement_runner;
mod prefix_cache;
mod repository_body;
mod sequence;
mod sequence_queue;

pub use answer_text::AnswerText;
pub use engine_builder::EngineBuilder;
pub use engine_process::EngineProcess;
pub use engine_settings::{EngineSettings, InitialModel};
pub use engine_timings::EngineTimings;
pub use fencing_number::FencingNumber;
pub use prefix_cache::block_hashes;
