//! One process of the system, with the command of the deploy file and the settings of a small
//! deployment.

use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::common::client::Request;

/// The command of the deploy file, which starts in the root of the repository.
const PROGRAM: &str = "target/release/banyanarch-node";

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// A process of the system. Dropping it kills the process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: String,
    pub ready: String,
    settings: PathBuf,
    dir: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node. `zones` are all zones.
    pub fn new(dir: &Path, name: &str, zone: &str, zones: &[&str], ip: &str, store: &str) -> Self {
        let front = format!("{ip}:{}", super::free_port(ip));
        let ready = format!("{ip}:{}", super::free_port(ip));
        let control = format!("{ip}:{}", super::free_port(ip));
        let internal = super::free_port(ip);
        let zone_lines: String = zones.iter().map(|z| format!("  {z}: \"area\"\n")).collect();
        let text = format!(
            r#"node-name: "{name}"
role: "gateway"
machine-class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "{ip}"
zone: "{zone}"
region: "area"
zones:
{zone_lines}listen:
  front: "{front}"
  ready: "{ready}"
  control: "{control}"
internal-ports:
  - {internal}
  - {internal}
seeds: []
bootstrap: true
fault-counted: false
limits:
  cpu-share: 0.25
  cpu-cores: 1
  memory-mb: 260
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]
fault-tolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seed-lag-s: 3
  reuse-after-s: 2
  stability-ms: 3000
  ack-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-apply-ms: 2000
  downgrade-slack-ms: 250
  max-stretch-ms: 5000
  strict-revoke: true
  revoke-ms: 5000
  retry-ratio: 0.2
  retry-window-s: 10
  retry-allowance: 102
  recover-s: 12
  iteration-ms: 120
  retry-after-s: 0
  stall_ms: 1500
  hold-max-ms: 20000
  free-ms: 4000
  idle-max-ms: 9000
platform:
  address: "{store}"
  form: "objects"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  ttl-min-ms: 1000
"#
        );
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("cannot write settings");
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front,
            ready,
            settings,
            dir: dir.to_owned(),
            starts: 0,
            child: None,
        }
    }

    /// Starts the process. Its output goes into files of the temporary folder.
    pub fn start(&mut self) {
        self.starts += 1;
        let file = |kind: &str| {
            let path = self
                .dir
                .join(format!("{}.{}.{kind}", self.name, self.starts));
            File::create(path).expect("cannot create a log file")
        };
        let mut command = Command::new(PROGRAM);
        // The node ends with the script, also if that is killed.
        // SAFETY: `prctl` is safe to call between `fork` and `exec`.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, 9);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BANYANARCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(file("out"))
            .stderr(file("err"))
            .spawn();
        self.child = Some(child.expect("cannot start the node"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            let pid = i32::try_from(child.id()).expect("process id");
            // SAFETY: `kill` takes two numbers; the child has not been waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let check = Request {
            method: "GET",
            path: "/readyz".to_owned(),
            host: "node",
            id: "ready".to_owned(),
            deadline_ms: 500,
            key: "none".to_owned(),
            headers: vec!["Connection: close".to_owned()],
            body: Vec::new(),
        };
        check.send(&self.ready).status == 200
    }

    /// Waits until the node is ready. Returns false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
