//! A host in a process of its own.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use banyanarch::http::HttpError;
use bytes::Bytes;
use hyper::Response;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use standin::machine;

use crate::site::call;
use crate::site::completion;
use crate::site::get;
use crate::site::wait_until;

/// A running `banyanarchd`. The process is killed when the value is dropped.
pub(crate) struct HostProcess {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) callers_addr: SocketAddr,
    pub(crate) peers_addr: SocketAddr,
    pub(crate) status_addr: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl HostProcess {
    /// Starts a host on ports that the system assigns, and waits until the host logs them.
    pub(crate) async fn start(name: &str, domain: &str, platform: SocketAddr) -> Self {
        Self::start_seeded(name, domain, platform, &[]).await
    }

    /// Starts a host whose settings list `seeds`.
    pub(crate) async fn start_seeded(
        name: &str,
        domain: &str,
        platform: SocketAddr,
        seeds: &[HostProcess],
    ) -> Self {
        let seeds: String = seeds
            .iter()
            .map(|seed| {
                format!(
                    "    - host: {}\n      failure_domain: {}\n      address: {}\n",
                    seed.name, seed.domain, seed.peers_addr
                )
            })
            .collect();
        let seeds = if seeds.is_empty() {
            seeds
        } else {
            format!("  seeds:\n{seeds}")
        };
        let unique: u64 = rand::random();
        let dir = std::env::temp_dir().join(format!("banyanarch-test-{unique:016x}"));
        fs::create_dir(&dir).unwrap();
        let settings = format!(
            "host: {name}\n\
             deployment: test\n\
             failure_domain: {domain}\n\
             listen:\n  \
               callers: 127.0.0.1:0\n  \
               peers: 127.0.0.1:0\n  \
               status: 127.0.0.1:0\n\
             platform:\n  \
               address: {platform}\n  \
               timeout_ms: 500\n\
             peers:\n  \
               keys:\n    \
                 - id: first\n      \
                   secret: a-secret-of-this-test-run\n\
             {seeds}\
             drain:\n  \
               notice_ms: 300\n\
             logs:\n  \
               level: debug\n\
             threads: 2\n"
        );
        let file = dir.join("settings.yaml");
        fs::write(&file, settings).unwrap();
        let log = File::create(dir.join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_banyanarchd"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let unassigned = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut host = Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            callers_addr: unassigned,
            peers_addr: unassigned,
            status_addr: unassigned,
            child,
            dir,
        };
        wait_until("the addresses of a host", async || {
            host.log().contains("status on ")
        })
        .await;
        let log = host.log();
        host.callers_addr = addr_after(&log, "serves callers on ");
        host.peers_addr = addr_after(&log, "peers on ");
        host.status_addr = addr_after(&log, "status on ");
        host
    }

    /// Registers the host at the platform.
    pub(crate) async fn register(&self, platform: SocketAddr, state: &str) {
        let spec = serde_json::json!({
            "role": "entry",
            "domain": self.domain,
            "address": self.peers_addr,
            "state": state,
        });
        machine::put(platform, machine::PATH, &self.name, &spec)
            .await
            .unwrap();
    }

    /// Waits until the host reports that it is ready.
    pub(crate) async fn wait_until_ready(&self) {
        wait_until("a host to be ready", async || {
            get(self.status_addr, "/readyz")
                .await
                .is_ok_and(|res| res.status() == 200)
        })
        .await;
    }

    /// Sends a completion call and reads the complete response.
    pub(crate) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Response<Bytes>, HttpError> {
        call(
            self.callers_addr,
            "/v1/completions",
            &[],
            &completion(prompt, max_tokens, false),
        )
        .await
    }

    /// Returns the status of the host; null if it does not respond.
    pub(crate) async fn status(&self) -> serde_json::Value {
        match get(self.status_addr, "/status").await {
            Ok(res) => serde_json::from_slice(res.body()).unwrap_or_default(),
            Err(_) => serde_json::Value::Null,
        }
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("a host to exit", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }

    /// Returns the log of the host.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name, tail(&self.log()));
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn tail(log: &str) -> &str {
    let start = log.len().saturating_sub(6_000);
    let start = (start..log.len()).find(|at| log.is_char_boundary(*at));
    &log[start.unwrap_or(0)..]
}

fn addr_after(log: &str, prefix: &str) -> SocketAddr {
    let rest = log.split(prefix).nth(1).unwrap();
    let end = rest.find([',', '\n', ' ']).unwrap_or(rest.len());
    rest[..end].trim().parse().unwrap()
}
