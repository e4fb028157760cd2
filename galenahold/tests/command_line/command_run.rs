//! Runs the built binary.

use std::fs;
use std::process;

use crate::scripted_api::ScriptedApi;

/// What a run of the binary came to.
#[derive(Debug)]
pub(crate) struct CommandRun {
    pub(crate) exit: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl CommandRun {
    /// Runs the binary with these arguments.
    pub(crate) fn new(arguments: &[&str]) -> Self {
        let output = process::Command::new(env!("CARGO_BIN_EXE_galenahold"))
            .args(arguments)
            .output()
            .unwrap();
        Self {
            exit: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Runs the binary as an operator of these faces; `INTENT` stands for a file with an intent.
    pub(crate) fn operator(faces: &[&ScriptedApi], arguments: &[&str]) -> Self {
        let addresses: Vec<_> = faces.iter().map(|api| api.address.to_string()).collect();
        Self::operator_at(&addresses.join(","), "6", arguments)
    }

    /// Runs the binary as an operator of these addresses, within a time limit in seconds.
    pub(crate) fn operator_at(addresses: &str, time_limit: &str, arguments: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let credential = folder.path().join("credential");
        let intent = folder.path().join("fleet.jsonc");
        fs::write(&credential, "secret-of-asha\n").unwrap();
        fs::write(&intent, "{\"teams\": [], /* none */ \"models\": []}").unwrap();
        let mut all = vec!["--timeout", time_limit, "--operators", addresses];
        all.extend(["--credential-file", credential.to_str().unwrap()]);
        let intent = intent.to_str().unwrap();
        all.extend(arguments.iter().map(|argument| match *argument {
            "INTENT" => intent,
            other => other,
        }));
        Self::new(&all)
    }
}
