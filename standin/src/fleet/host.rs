//! Entry hosts as child processes.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use banyanarch::settings::Settings;
use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::fleet::ChildProcess;
use crate::fleet::FleetError;
use crate::fleet::FleetPlan;
use crate::fleet::WorkDir;
use crate::http::call_json;
use crate::machine;

const START_ATTEMPTS: u32 = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry host of a fleet.
#[derive(Debug)]
pub struct HostProcess {
    /// The process.
    pub child: ChildProcess,
    /// The failure domain of the host.
    pub domain: String,
    /// The address for callers.
    pub callers_addr: SocketAddr,
    /// The address for other hosts.
    pub peers_addr: SocketAddr,
    /// The address for health and metrics.
    pub status_addr: SocketAddr,
}

impl HostProcess {
    /// Starts all hosts of a plan and waits until they are ready. Ports are picked among those that
    /// are free; if another process binds one of them first, all hosts are started again on new
    /// ports.
    pub async fn start_all(
        dir: &WorkDir,
        plan: &FleetPlan,
        platform: SocketAddr,
    ) -> Result<Vec<Self>, FleetError> {
        let mut last_error = FleetError("no host was started".to_owned());
        for _ in 0..START_ATTEMPTS {
            match Self::try_start_all(dir, plan, platform).await {
                Ok(hosts) => return Ok(hosts),
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    async fn try_start_all(
        dir: &WorkDir,
        plan: &FleetPlan,
        platform: SocketAddr,
    ) -> Result<Vec<Self>, FleetError> {
        let ports = free_addrs(3 * plan.hosts.len())?;
        let host_addrs: Vec<(&(String, String), &[SocketAddr])> =
            plan.hosts.iter().zip(ports.chunks(3)).collect();
        let seeds: Vec<Value> = host_addrs
            .iter()
            .map(|((name, domain), addrs)| {
                json!({"host": name, "failure_domain": domain, "address": addrs[1]})
            })
            .collect();
        let mut hosts = Vec::new();
        for ((name, domain), addrs) in host_addrs {
            let settings = build_settings(plan, (name, domain), addrs, &seeds, platform)?;
            let path = dir.path(&format!("{name}.yaml"));
            fs::write(
                &path,
                serde_json::to_string_pretty(&settings).unwrap_or_default(),
            )?;
            let args = ["daemon", "--settings", &path.display().to_string()].map(str::to_owned);
            hosts.push(Self {
                child: ChildProcess::start(dir, name, &args)?,
                domain: domain.clone(),
                callers_addr: addrs[0],
                peers_addr: addrs[1],
                status_addr: addrs[2],
            });
            register_host(name, domain, addrs[1], platform).await?;
        }
        for host in &mut hosts {
            host.wait_until_ready(dir).await?;
        }
        Ok(hosts)
    }

    /// Polls `/readyz` until it succeeds. Returns an error with the last lines of the log if the
    /// process ends or the timeout passes.
    async fn wait_until_ready(&mut self, dir: &WorkDir) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline && !self.child.has_ended() {
            let ready = call_json(self.status_addr, Method::GET, "/readyz", &Value::Null).await;
            if ready.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let log = dir.tail(&self.child.name);
        Err(FleetError(format!(
            "{} did not become ready\n{log}",
            self.child.name
        )))
    }
}

fn build_settings(
    plan: &FleetPlan,
    (name, domain): (&str, &str),
    addrs: &[SocketAddr],
    seeds: &[Value],
    platform: SocketAddr,
) -> Result<Settings, FleetError> {
    let others: Vec<&Value> = seeds.iter().filter(|seed| seed["host"] != name).collect();
    let settings = json!({
        "host": name,
        "deployment": plan.deployment,
        "failure_domain": domain,
        "listen": {"callers": addrs[0], "peers": addrs[1], "status": addrs[2]},
        "platform": {"address": platform},
        "peers": {
            "seeds": others,
            "keys": [{"id": "run", "secret": "a secret for one run only"}],
        },
        "policy": plan.policy,
        "threads": plan.host_threads,
        "drain": {"notice_ms": plan.drain_notice_ms},
    });
    serde_json::from_value(settings).map_err(|e| FleetError(format!("settings: {e}")))
}

async fn register_host(
    name: &str,
    domain: &str,
    peers_addr: SocketAddr,
    platform: SocketAddr,
) -> Result<(), FleetError> {
    let spec = json!({
        "role": "entry",
        "domain": domain,
        "address": peers_addr.to_string(),
        "state": "live",
    });
    let written = machine::put(platform, machine::PATH, name, &spec).await;
    written.map_err(|e| FleetError(format!("{name}: {e}")))
}

/// Returns loopback addresses with ports that are free at the moment. Their IP address comes from
/// the process id, so that no other process is given a port before the host binds it.
fn free_addrs(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high.max(1), low, 1);
    let bind = |_| TcpListener::bind((ip, 0));
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(bind).collect();
    let addrs: Result<Vec<SocketAddr>, _> =
        listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addrs?)
}
