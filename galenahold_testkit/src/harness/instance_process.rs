//! One instance as a child process.

use std::fs;
use std::path;
use std::process;
use std::thread;
use std::time;

use snafu::ResultExt;

use super::InstanceAddresses;
use super::child_process::ChildProcess;
use super::instance_plan::InstancePlan;
use crate::testkit_error::{FileSnafu, NotReadySnafu, TestkitError};

/// Pause between looks at a process.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Time that one look at readiness may take.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Bytes of the log that an error shows.
const LOG_TAIL_BYTES: usize = 2_000;

/// Starts, signals and reaps one instance; dropping it kills and reaps the process.
#[derive(Debug)]
pub struct InstanceProcess {
    plan: InstancePlan,
    child: ChildProcess,
}

impl InstanceProcess {
    /// Writes the settings; the process is not started yet.
    pub(crate) fn prepare(plan: InstancePlan) -> Result<Self, TestkitError> {
        let folder = &plan.folder;
        fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
        if plan.control {
            let path = plan.data_folder();
            fs::create_dir_all(&path).context(FileSnafu { path })?;
        }
        let path = plan.settings_file();
        let text = format!("{:#}\n", plan.settings);
        fs::write(&path, text).context(FileSnafu { path })?;
        let child = ChildProcess::new(&plan.name);
        Ok(Self { plan, child })
    }

    /// Starts the process, also again after its end; its log is continued.
    ///
    /// # Errors
    ///
    /// Fails when the binary cannot be started.
    pub fn start(&mut self) -> Result<(), TestkitError> {
        let path = self.plan.log_file();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .context(FileSnafu { path })?;
        let variables = self.plan.environment.iter();
        let mut command = process::Command::new(&self.plan.binary);
        command
            .arg("serve")
            .arg("--settings")
            .arg(self.plan.settings_file())
            .envs(variables.map(|(name, value)| (name, value)))
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(log);
        self.child.start(&mut command)?;
        if let Some(process) = self.id() {
            let routes = self.plan.shared_routes.iter();
            routes.for_each(|route| route.attribute(process));
        }
        Ok(())
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Returns where it listens.
    #[must_use]
    pub fn addresses(&self) -> &InstanceAddresses {
        &self.plan.addresses
    }

    /// Returns its settings.
    #[must_use]
    pub fn settings(&self) -> &serde_json::Value {
        &self.plan.settings
    }

    /// Returns its data folder; only control instances have one.
    #[must_use]
    pub fn data_folder(&self) -> path::PathBuf {
        self.plan.data_folder()
    }

    /// Returns its process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns its whole log.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = fs::read(self.plan.log_file()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Kills it at once and reaps it.
    pub fn kill(&mut self) {
        self.child.kill();
    }

    /// Freezes it; its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn freeze(&self) -> Result<(), TestkitError> {
        self.child.freeze()
    }

    /// Lets it go on after a freeze.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn thaw(&self) -> Result<(), TestkitError> {
        self.child.thaw()
    }

    /// Asks it to stop in order.
    ///
    /// # Errors
    ///
    /// Fails when it does not run.
    pub fn terminate(&self) -> Result<(), TestkitError> {
        self.child.terminate()
    }

    /// Waits for its end, at most `limit`; `None` when it still runs or never ran.
    pub fn wait_exit(&mut self, limit: time::Duration) -> Option<process::ExitStatus> {
        self.child.wait_exit(limit)
    }

    /// Tells whether it says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready_status() == Some(200)
    }

    /// Tells whether it says that it is not ready; one that does not answer in time says nothing.
    #[must_use]
    pub fn is_unready(&self) -> bool {
        self.ready_status().is_some_and(|status| status != 200)
    }

    fn ready_status(&self) -> Option<u16> {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(READY_TIMEOUT))
            .http_status_as_error(false);
        let agent: ureq::Agent = config.build().into();
        let url = format!("http://{}/ready", self.plan.addresses.platform);
        let answer = agent.get(url).call().ok()?;
        Some(answer.status().as_u16())
    }

    /// Waits until it is ready, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when it ends, or is not ready in time; the error shows the end of its log.
    pub fn wait_ready(&mut self, limit: time::Duration) -> Result<(), TestkitError> {
        let deadline = time::Instant::now() + limit;
        while !self.is_ready() {
            let ended = self.wait_exit(time::Duration::ZERO).is_some() || self.id().is_none();
            if ended || time::Instant::now() >= deadline {
                return NotReadySnafu {
                    name: self.name(),
                    ended,
                    log: log_tail(&self.log()),
                }
                .fail();
            }
            thread::sleep(POLL_PAUSE);
        }
        Ok(())
    }

    /// Makes sure that it has not ended.
    ///
    /// # Errors
    ///
    /// Fails when it does not run; the error shows the end of its log.
    pub(crate) fn check_runs(&mut self) -> Result<(), TestkitError> {
        if self.wait_exit(time::Duration::ZERO).is_none() && self.id().is_some() {
            return Ok(());
        }
        NotReadySnafu {
            name: self.name(),
            ended: true,
            log: log_tail(&self.log()),
        }
        .fail()
    }
}

/// Returns the end of a log.
fn log_tail(log: &str) -> String {
    let mut start = log.len().saturating_sub(LOG_TAIL_BYTES);
    while !log.is_char_boundary(start) {
        start += 1;
    }
    log[start..].to_owned()
}
