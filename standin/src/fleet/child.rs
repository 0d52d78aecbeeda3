//! A child process that runs this program with another subcommand.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::fleet::FleetError;
use crate::fleet::WorkDir;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running child process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    /// The name of the process and of its log file.
    pub name: String,
    process: std::process::Child,
    stdout_path: std::path::PathBuf,
}

impl ChildProcess {
    /// Starts the process; its output goes to files in `dir`.
    pub fn start(dir: &WorkDir, name: &str, args: &[String]) -> Result<Self, FleetError> {
        let stdout_path = dir.path(&format!("{name}.out"));
        let log = File::create(dir.path(&format!("{name}.log")))?;
        let process = Command::new(std::env::current_exe()?)
            .args(args)
            .arg("--with-parent")
            .stdin(Stdio::piped())
            .stdout(File::create(&stdout_path)?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            process,
            stdout_path,
        })
    }

    /// Waits until the process prints the line `listening ADDR`, and returns the address. Returns
    /// an error after 30 seconds without this line.
    pub async fn wait_until_listening(&self) -> Result<SocketAddr, FleetError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let stdout = fs::read_to_string(&self.stdout_path)?;
            let addr = stdout
                .lines()
                .find_map(|line| line.strip_prefix("listening "));
            if let Some(addr) = addr.and_then(|addr| addr.parse().ok()) {
                return Ok(addr);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(FleetError(format!(
            "{} did not print its address before the timeout",
            self.name
        )))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process with SIGKILL, as a crash would, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Asks the process to stop with SIGTERM.
    pub fn terminate(&self) {
        if let Ok(pid) = i32::try_from(self.process.id()) {
            let _ = signal::kill(Pid::from_raw(pid), Signal::SIGTERM);
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
