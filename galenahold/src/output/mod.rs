//! What commands print, for people and as JSON.

mod cell_text;
mod flat_row;
mod output_format;
mod printable_text;
mod text_table;
mod value_text;

use cell_text::cell_text;
use flat_row::FlatRow;
pub(crate) use output_format::OutputFormat;
pub(crate) use printable_text::PrintableText;
use text_table::TextTable;
pub(crate) use value_text::ValueText;
