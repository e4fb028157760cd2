//! The commands: each has its definition, its arguments and what it does.

mod burn_command;
mod check_command;
mod check_configuration_command;
mod command_error;
mod completions_command;
mod confirm_command;
mod global_options;
mod intent_file;
mod keys_command;
mod members_command;
mod plan_command;
mod platform_command;
mod request_id;
mod root_command;
mod serve_command;
mod settings_argument;
mod show_command;
mod status_command;

use burn_command::BurnCommand;
use check_command::CheckCommand;
use check_configuration_command::CheckConfigurationCommand;
use command_error::CommandError;
use completions_command::CompletionsCommand;
use confirm_command::ConfirmCommand;
use global_options::GlobalOptions;
use intent_file::IntentFile;
use keys_command::KeysCommand;
use members_command::MembersCommand;
use plan_command::PlanCommand;
use platform_command::PlatformCommand;
pub(crate) use root_command::RootCommand;
use serve_command::ServeCommand;
use show_command::ShowCommand;
use status_command::StatusCommand;
