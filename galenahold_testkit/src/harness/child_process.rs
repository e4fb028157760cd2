//! A child process that is signalled and reaped.

use std::process;
use std::thread;
use std::time;

use rustix::process as signals;
use snafu::{OptionExt, ResultExt};

use crate::testkit_error::{NotRunningSnafu, SignalSnafu, StartSnafu, TestkitError};

/// Pause between looks at a process.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Holds at most one running process; dropping it kills and reaps the process.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    name: String,
    child: Option<process::Child>,
}

impl ChildProcess {
    /// Makes the holder without a process.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            child: None,
        }
    }

    /// Returns the name that errors show.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id while it runs.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Starts a process in place of the one before, which is killed.
    pub(crate) fn start(&mut self, command: &mut process::Command) -> Result<(), TestkitError> {
        self.kill();
        let path = command.get_program().to_owned();
        let child = command.spawn().context(StartSnafu { path })?;
        self.child = Some(child);
        Ok(())
    }

    /// Takes the pipe from the process's standard output.
    pub(crate) fn take_stdout(&mut self) -> Option<process::ChildStdout> {
        self.child.as_mut()?.stdout.take()
    }

    /// Kills and reaps the process, if there is one.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process is gone.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Freezes the process.
    pub(crate) fn freeze(&self) -> Result<(), TestkitError> {
        self.signal(signals::Signal::STOP)
    }

    /// Lets the process go on.
    pub(crate) fn thaw(&self) -> Result<(), TestkitError> {
        self.signal(signals::Signal::CONT)
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) -> Result<(), TestkitError> {
        self.signal(signals::Signal::TERM)
    }

    /// Waits for the end of the process; `None` when it still runs or never ran.
    pub(crate) fn wait_exit(&mut self, limit: time::Duration) -> Option<process::ExitStatus> {
        let deadline = time::Instant::now() + limit;
        let child = self.child.as_mut()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status);
            }
            if time::Instant::now() >= deadline {
                return None;
            }
            thread::sleep(POLL_PAUSE);
        }
    }

    fn signal(&self, signal: signals::Signal) -> Result<(), TestkitError> {
        let name = self.name();
        let child = self.child.as_ref().context(NotRunningSnafu { name })?;
        let id = signals::Pid::from_child(child);
        signals::kill_process(id, signal).context(SignalSnafu { name })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
