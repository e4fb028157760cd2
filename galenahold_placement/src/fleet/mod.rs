//! Placement on the engines of declared services, driven by demand.
//!
//! [`FleetPlanner`] makes the leader's decisions from the roster and the demand reports of entry
//! instances. It sends nothing itself: it returns [`EngineOrder`]s and is told their receipts.

mod adapter_decision;
mod adapter_requests;
mod adapter_table;
mod aggregate_demand;
mod demand_counts;
mod engine_order;
mod engine_report;
mod fleet_planner;
mod load_choices;
mod load_costs;
mod load_decision;
mod load_option;
mod load_urgency;
mod model_need;
mod model_needs;
mod model_standing;
mod open_order;
mod order_action;
mod order_queue;
mod order_receipt;
mod order_receipts;
mod plan_round;
mod plan_step;
mod preloads;
mod round_engines;
mod server_plan;
mod store_sample;
mod store_throughput;
mod store_window;
mod waiting_call;

pub use adapter_decision::AdapterDecision;
use adapter_table::AdapterTable;
use aggregate_demand::{AggregateDemand, CallWindow};
pub use demand_counts::DemandCounts;
pub use engine_order::EngineOrder;
pub use engine_report::EngineReport;
pub use fleet_planner::FleetPlanner;
pub use load_decision::LoadDecision;
use load_option::LoadOption;
use model_need::{Eviction, ModelNeed};
use model_standing::ModelStanding;
use open_order::OpenOrder;
pub use order_action::OrderAction;
pub use order_queue::OrderQueue;
pub use order_receipt::OrderReceipt;
use plan_round::PlanRound;
pub use plan_step::PlanStep;
use round_engines::RoundEngines;
use server_plan::ServerPlan;
pub use store_sample::StoreSample;
use store_throughput::StoreThroughput;
use store_window::StoreWindow;
pub use waiting_call::WaitingCall;
