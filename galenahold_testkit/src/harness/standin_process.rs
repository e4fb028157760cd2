//! One stand-in as a child process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net;
use std::process;
use std::time;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};

use super::child_process::ChildProcess;
use super::product_binary::sibling_binary;
use crate::control;
use crate::engine;
use crate::ledger;
use crate::service;
use crate::testkit_error::{
    FileSnafu, HttpSnafu, JsonSnafu, NotReadySnafu, StatusSnafu, TestkitError,
};

/// Variable that names another binary.
const BINARY_VARIABLE: &str = "GALENAHOLD_STANDIN_BIN";
/// File name of the binary.
const BINARY_NAME: &str = "galenahold-standin";
/// Time that one call of the admin address may take.
const ADMIN_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The line that a stand-in prints once it listens.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReadyLine {
    address: net::SocketAddr,
    admin: net::SocketAddr,
}

/// Starts, signals and reaps a stand-in; its ledger ends with its process.
#[derive(Debug)]
pub struct StandInProcess {
    child: ChildProcess,
    ready: ReadyLine,
    agent: ureq::Agent,
    _folder: tempfile::TempDir,
}

impl StandInProcess {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not listen.
    pub fn engine(settings: &engine::EngineSettings) -> Result<Self, TestkitError> {
        Self::start("engine", &settings.announce.name, settings)
    }

    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not listen.
    pub fn service(settings: &service::ServiceSettings) -> Result<Self, TestkitError> {
        Self::start("service", &settings.announce.name, settings)
    }

    fn start<S: Serialize>(kind: &str, name: &str, settings: &S) -> Result<Self, TestkitError> {
        let folder = tempfile::tempdir().context(FileSnafu {
            path: std::env::temp_dir(),
        })?;
        let path = folder.path().join("settings.json");
        let text = serde_json::json!(settings).to_string();
        fs::write(&path, text).context(FileSnafu { path: &path })?;
        let mut command = process::Command::new(sibling_binary(BINARY_VARIABLE, BINARY_NAME));
        command
            .arg(kind)
            .arg("--settings")
            .arg(&path)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped());
        let mut child = ChildProcess::new(name);
        child.start(&mut command)?;
        let ready = read_ready(&mut child)?;
        let config = ureq::Agent::config_builder().timeout_global(Some(ADMIN_TIMEOUT));
        Ok(Self {
            child,
            ready,
            agent: config.http_status_as_error(false).build().into(),
            _folder: folder,
        })
    }

    /// Returns the address for requests and orders.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.ready.address
    }

    /// Reads the ledger.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone or frozen.
    pub fn ledger(&self) -> Result<ledger::LedgerSnapshot, TestkitError> {
        let address = self.ready.admin;
        let call = self.agent.get(format!("http://{address}/ledger")).call();
        let mut answer = call.context(HttpSnafu { address })?;
        let read = answer.body_mut().with_config().limit(u64::MAX).read_json();
        read.context(HttpSnafu { address })
    }

    /// Makes the stand-in misbehave.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone or frozen, or has no such switch.
    pub fn control(&self, control: &control::ServerControl) -> Result<(), TestkitError> {
        let address = self.ready.admin;
        let request = self.agent.post(format!("http://{address}/control"));
        let answer = request.send_json(control).context(HttpSnafu { address })?;
        let status = answer.status();
        if status.is_success() {
            return Ok(());
        }
        StatusSnafu {
            address,
            path: "/control",
            status: status.as_u16(),
        }
        .fail()
    }

    /// Kills the process at once and reaps it.
    pub fn kill(&mut self) {
        self.child.kill();
    }

    /// Freezes the process; its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn freeze(&self) -> Result<(), TestkitError> {
        self.child.freeze()
    }

    /// Lets the process go on after a freeze.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn thaw(&self) -> Result<(), TestkitError> {
        self.child.thaw()
    }

    /// Waits for the end of the process; `None` when it still runs.
    pub fn wait_exit(&mut self, limit: time::Duration) -> Option<process::ExitStatus> {
        self.child.wait_exit(limit)
    }
}

/// Reads the first line of a process, which comes once it listens.
fn read_ready(child: &mut ChildProcess) -> Result<ReadyLine, TestkitError> {
    let name = child.name().to_owned();
    let mut line = String::new();
    let read = child
        .take_stdout()
        .and_then(|stdout| BufReader::new(stdout).read_line(&mut line).ok());
    read.filter(|&count| count > 0).context(NotReadySnafu {
        name,
        ended: true,
        log: "it printed no address",
    })?;
    serde_json::from_str(&line).context(JsonSnafu { what: line })
}
