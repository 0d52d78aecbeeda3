//! A fleet of a platform, engines, a plain service and entry hosts as child processes on loopback.

mod child;
mod dir;
mod host;
mod manifest;
mod plan;

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

pub use child::ChildProcess;
pub use dir::WorkDir;
pub use host::HostProcess;
pub use manifest::publish;
pub use plan::FleetPlan;
pub use plan::MODEL;
pub use plan::SERVICE;

use crate::engine::RunRecord;
use crate::engine::read_runs;

/// Why a fleet could not be started, or a tool could not continue.
#[derive(Debug)]
pub struct FleetError(pub String);

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for FleetError {}

impl From<std::io::Error> for FleetError {
    fn from(e: std::io::Error) -> Self {
        Self(e.to_string())
    }
}

/// An engine or a service instance of a fleet.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The process.
    pub child: ChildProcess,
    /// The address that the process listens on.
    pub addr: SocketAddr,
    record_name: String,
}

/// A running fleet. Dropping it kills its processes and removes the directory with their settings,
/// records and logs, unless [`Fleet::keep_dir`] was called.
#[derive(Debug)]
pub struct Fleet {
    /// The fake platform.
    pub platform: ChildProcess,
    /// The address that the platform listens on.
    pub platform_addr: SocketAddr,
    /// The engines.
    pub engines: Vec<UpstreamProcess>,
    /// The instances of the plain service.
    pub services: Vec<UpstreamProcess>,
    /// The entry hosts.
    pub hosts: Vec<HostProcess>,
    dir: WorkDir,
}

impl Fleet {
    /// Starts all processes, publishes the manifest and waits until each host is ready.
    pub async fn start(plan: &FleetPlan) -> Result<Self, FleetError> {
        let dir = WorkDir::new()?;
        let platform = ChildProcess::start(&dir, "platform", &["platform".to_owned()])?;
        let platform_addr = platform.wait_until_listening().await?;
        publish(platform_addr, &plan.manifest()).await?;
        let mut fleet = Self {
            platform,
            platform_addr,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            dir,
        };
        for (name, args) in plan.engine_commands(platform_addr) {
            let upstream = fleet.start_upstream(&name, args)?;
            fleet.engines.push(upstream);
        }
        for (name, args) in plan.service_commands(platform_addr) {
            let upstream = fleet.start_upstream(&name, args)?;
            fleet.services.push(upstream);
        }
        for upstream in fleet.engines.iter_mut().chain(&mut fleet.services) {
            upstream.addr = upstream.child.wait_until_listening().await?;
        }
        fleet.hosts = HostProcess::start_all(&fleet.dir, plan, platform_addr).await?;
        Ok(fleet)
    }

    /// Returns the records of all engines and services, including those that have been killed.
    pub fn runs(&self) -> Result<Vec<RunRecord>, FleetError> {
        let mut runs = Vec::new();
        for upstream in self.engines.iter().chain(&self.services) {
            runs.extend(read_runs(&self.dir.path(&upstream.record_name))?);
        }
        Ok(runs)
    }

    /// Returns the addresses on which the hosts serve callers.
    pub fn callers_addrs(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers_addr).collect()
    }

    /// Returns the last lines of each host's log, for a run that failed.
    pub fn host_logs(&self) -> String {
        let logs = self
            .hosts
            .iter()
            .map(|host| self.dir.tail(&host.child.name));
        logs.collect()
    }

    /// Keeps the directory with the logs when the fleet ends.
    pub fn keep_dir(&mut self) {
        self.dir.keep();
    }

    fn start_upstream(
        &self,
        name: &str,
        mut args: Vec<String>,
    ) -> Result<UpstreamProcess, FleetError> {
        let record_name = format!("{name}.record");
        let record_path = self.dir.path(&record_name);
        args.extend(["--record".to_owned(), record_path.display().to_string()]);
        Ok(UpstreamProcess {
            child: ChildProcess::start(&self.dir, name, &args)?,
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            record_name,
        })
    }
}
