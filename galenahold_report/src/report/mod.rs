//! The burn report and its text and HTML renderings.

mod burn_page;
mod burn_report;
mod burn_row;
mod burn_status;
mod burn_table;
mod history_burn;
mod objective_burn;
mod objective_kind;
mod window_burn;

use burn_page::BurnPage;
pub use burn_report::BurnReport;
pub use burn_row::BurnRow;
pub use burn_status::BurnStatus;
use burn_table::BurnTable;
pub use history_burn::HistoryBurn;
pub use objective_burn::ObjectiveBurn;
pub use objective_kind::ObjectiveKind;
pub use window_burn::WindowBurn;
