//! The help is what the committed text says.

use std::fs;

use expect_test::expect_file;

use crate::command_run::CommandRun;

const COMMANDS: &[&[&str]] = &[
    &[],
    &["serve"],
    &["check"],
    &["check-configuration"],
    &["plan"],
    &["confirm"],
    &["show"],
    &["keys", "give"],
    &["keys", "withdraw"],
    &["status"],
    &["members"],
    &["members", "add"],
    &["report", "burn"],
    &["completions"],
];

/// Returns the help of a command without the global options, which the first help shows.
fn help(command: &[&str]) -> String {
    let mut arguments = command.to_vec();
    arguments.push("--help");
    let run = CommandRun::new(&arguments);
    assert_eq!(run.exit, 0);
    let end = if command.is_empty() {
        None
    } else {
        run.stdout.find("\nGlobal options:")
    };
    let text = &run.stdout[..end.unwrap_or(run.stdout.len())];
    let lines: Vec<_> = text.lines().map(str::trim_end).collect();
    format!(
        "$ galenahold {}\n{}\n",
        arguments.join(" "),
        lines.join("\n")
    )
}

#[test]
fn help_of_all_commands_is_the_committed_one() {
    let text: Vec<_> = COMMANDS.iter().map(|command| help(command)).collect();
    expect_file!["help.txt"].assert_eq(&text.join("\n"));
}

#[test]
fn operators_page_names_each_command_and_exit_status() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/operators/commands.md");
    let page = fs::read_to_string(page).unwrap();
    for command in &COMMANDS[1..] {
        let name = format!("`{}", command.join(" "));
        assert!(page.contains(&name), "{name} is missing");
    }
    for status in galenahold::ExitStatus::ALL {
        let line = format!("| {} | {} |", status.number(), status.meaning());
        assert!(page.contains(&line), "{line} is missing");
    }
}
