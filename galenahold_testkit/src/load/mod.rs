//! Open-loop load and its results.

mod answer_check;
mod arrival_clock;
mod event_reader;
mod latency_recorder;
mod latency_summary;
mod load_client;
mod load_result;
mod load_run;
mod load_settings;
mod load_trace;
mod rate_meter;
mod request_result;
mod result_collector;
mod result_comparison;
mod route_result;
mod team_keys;
mod trace_generator;
mod trace_plan;
mod trace_request;

pub use latency_summary::LatencySummary;
pub use load_result::LoadResult;
pub use load_run::LoadRun;
pub use load_settings::LoadSettings;
pub use load_trace::LoadTrace;
pub use result_comparison::ResultComparison;
pub use route_result::{RouteKind, RouteResult, VerdictCount};
pub use team_keys::TeamKeys;
pub use trace_generator::TraceGenerator;
pub use trace_plan::{BurstPlan, TeamFactor, TracePlan};
pub use trace_request::{TraceBody, TraceRequest};
