//! The built binary as a running instance with both roles.

use std::fs;
use std::net;
use std::process;
use std::thread;
use std::time;

const LIMIT: time::Duration = time::Duration::from_secs(30);
const MAX_STARTS: u32 = 5;
const PAUSE: time::Duration = time::Duration::from_millis(50);
/// SHA-256 of the credential `secret`.
const CREDENTIAL_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// The built binary as a running instance with both roles; killed when dropped.
#[derive(Debug)]
pub(crate) struct RunningInstance {
    folder: tempfile::TempDir,
    operators: net::SocketAddr,
    child: process::Child,
}

impl RunningInstance {
    /// Starts an instance and waits until it leads its control group of one.
    pub(crate) fn start() -> Self {
        for _ in 0..MAX_STARTS {
            let mut instance = Self::spawn();
            if instance.wait_for_leader() {
                return instance;
            }
        }
        panic!("the instance does not start");
    }

    fn spawn() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let [operators, peers] = free_addresses();
        let settings = format!(
            r#"{{
                "cluster": "test",
                "instance": {{"name": "c1", "data_centre": "a", "region": "r", "roles": ["entry", "control"]}},
                "listen": {{
                    "callers": "127.0.0.1:0", "backends": "127.0.0.1:0", "platform": "127.0.0.1:0",
                    "operators": "{operators}", "peers": "{peers}",
                }},
                "data_folder": "data",
                "operators": [{{"name": "asha", "credential_sha256": "{CREDENTIAL_SHA256}"}}],
                "timing": {{"notice_ms": 100}},
            }}"#
        );
        fs::write(folder.path().join("c1.jsonc"), settings).unwrap();
        fs::write(folder.path().join("credential"), "secret\n").unwrap();
        fs::create_dir(folder.path().join("data")).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_galenahold"))
            .args(["serve", "--settings", "c1.jsonc"])
            .current_dir(folder.path())
            .spawn()
            .unwrap();
        Self {
            folder,
            operators,
            child,
        }
    }

    /// Writes a file into the folder that commands run in.
    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
    }

    /// Runs an operator's command and returns its exit status and its JSON output.
    pub(crate) fn command(&self, arguments: &[&str]) -> (i32, serde_json::Value) {
        let output = process::Command::new(env!("CARGO_BIN_EXE_galenahold"))
            .args(["--operators", &self.operators.to_string()])
            .args(["--credential-file", "credential", "--output", "json"])
            .args(arguments)
            .current_dir(self.folder.path())
            .output()
            .unwrap();
        let text = if output.status.success() {
            output.stdout
        } else {
            output.stderr
        };
        let text = String::from_utf8(text).unwrap();
        let document = serde_json::from_str(&text).unwrap_or(serde_json::Value::String(text));
        (output.status.code().unwrap(), document)
    }

    /// Waits until a leader answers operators; false where the instance has ended, as it does when
    /// another process took one of its ports.
    fn wait_for_leader(&mut self) -> bool {
        let deadline = time::Instant::now() + LIMIT;
        while self.command(&["--timeout", "2", "show", "intent"]).0 != 0 {
            if self.child.try_wait().unwrap().is_some() {
                return false;
            }
            assert!(time::Instant::now() < deadline, "no leader answers");
            thread::sleep(PAUSE);
        }
        true
    }

    /// Asks for a planned stop and returns the exit status.
    pub(crate) fn stop(mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.unwrap().success());
        let deadline = time::Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(
                time::Instant::now() < deadline,
                "the instance does not stop"
            );
            thread::sleep(PAUSE);
        }
    }
}

impl Drop for RunningInstance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns addresses whose ports were free a moment ago.
fn free_addresses() -> [net::SocketAddr; 2] {
    let listeners = [(); 2].map(|()| net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
