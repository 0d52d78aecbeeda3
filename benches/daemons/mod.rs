//! Counts control traffic with real daemons on loopback and a fake platform in this process.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use banyanarch::manifest::PublishedManifest;
use banyanarch::units::Generation;
use futures_util::future::join_all;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use standin::fleet::WorkDir;
use standin::http::call_json;
use standin::platform::PlatformFake;

const COUNT_DURATION: Duration = Duration::from_secs(20);
const SETTLE_DURATION: Duration = Duration::from_secs(10);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const KILLS: usize = 3;
/// Clock ticks a second of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const API_PATH: &str = "/apis/banyanarch.dev/v1/";

struct Daemon {
    name: String,
    status_addr: SocketAddr,
    process: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Counts the control traffic of `host_count` daemons and prints a line.
pub(crate) fn count(host_count: usize) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(run_count(host_count));
}

async fn run_count(host_count: usize) {
    let platform = PlatformFake::start(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let dir = WorkDir::new().unwrap();
    let mut published = publish(platform.addr(), None).await;
    let mut daemons = start(&dir, platform.addr(), host_count).await;
    for n in 0..host_count * crate::RUNNERS / crate::HOSTS {
        let domain = format!("domain-{}", n % crate::DOMAINS);
        let spec = json!({"role": "upstream", "target": "geet-model", "domain": domain,
            "address": "127.0.0.1:9", "state": "live"});
        register(platform.addr(), &format!("runner-{n}"), &spec).await;
    }
    wait_until(&daemons, |status| alive_count(status) == host_count).await;
    tokio::time::sleep(SETTLE_DURATION).await;
    let bytes = measure_traffic(&daemons, &platform).await;
    let mut spread_s = 0.0;
    for _ in 0..KILLS {
        published = publish(platform.addr(), Some(published)).await;
        let generation = published.generation.0;
        spread_s += wait_until(&daemons, |status| status["generation"] == generation).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let mut detection_s = 0.0;
    for _ in 0..KILLS.min(host_count - 1) {
        let killed = daemons.pop().unwrap();
        let (domain, name) = (domain_of(&killed.name).to_owned(), killed.name.clone());
        drop(killed);
        detection_s += wait_until(&daemons, |status| {
            status["domain"] != domain.as_str() || state_of(status, &name) == Some("dead")
        })
        .await;
    }
    println!(
        "hosts {host_count}, control {bytes:.0} B/s per host, seconds after kill {:.1}, \
         seconds to spread a manifest {:.1}",
        detection_s / KILLS.min(host_count - 1) as f64,
        spread_s / KILLS as f64
    );
}

/// Returns the control bytes a second and host over `COUNT_DURATION`, and prints the processor
/// time, memory and platform calls to standard error.
async fn measure_traffic(daemons: &[Daemon], platform: &PlatformFake) -> f64 {
    let (bytes_before, cpu_before) = (total_control_bytes(daemons).await, total_cpu_s(daemons));
    let (reads, writes) = (platform.stats().reads, platform.stats().writes);
    tokio::time::sleep(COUNT_DURATION).await;
    let host_seconds = daemons.len() as f64 * COUNT_DURATION.as_secs_f64();
    let stats = platform.stats();
    let rss = daemons.iter().map(|daemon| rss_kib(daemon.process.id()));
    eprintln!(
        "  {} daemons: {:.2}% of a core and {:.0} MiB each, platform {:.1} reads/s and {:.1} writes/s",
        daemons.len(),
        (total_cpu_s(daemons) - cpu_before) / host_seconds * 100.0,
        rss.max().unwrap_or(0) as f64 / 1024.0,
        (stats.reads - reads) as f64 / COUNT_DURATION.as_secs_f64(),
        (stats.writes - writes) as f64 / COUNT_DURATION.as_secs_f64(),
    );
    (total_control_bytes(daemons).await - bytes_before) / host_seconds
}

async fn start(dir: &WorkDir, platform: SocketAddr, host_count: usize) -> Vec<Daemon> {
    let addrs = free_addrs(host_count * 3);
    let host_name = |n: usize| format!("domain-{}-{n:03}", n % crate::DOMAINS);
    let seeds: Vec<Value> = (0..host_count.min(3 * crate::DOMAINS))
        .map(|n| {
            let name = host_name(n);
            json!({"host": name, "failure_domain": domain_of(&name), "address": addrs[n * 3 + 1]})
        })
        .collect();
    let mut daemons = Vec::new();
    for n in 0..host_count {
        let name = host_name(n);
        let [callers, peers, status_addr] = [addrs[n * 3], addrs[n * 3 + 1], addrs[n * 3 + 2]];
        let others: Vec<&Value> = seeds.iter().filter(|seed| seed["host"] != name).collect();
        let settings = json!({
            "host": name,
            "deployment": "desai",
            "failure_domain": domain_of(&name),
            "listen": {"callers": callers, "peers": peers, "status": status_addr},
            "platform": {"address": platform},
            "peers": {"seeds": others, "keys": [{"id": "k", "secret": "0123456789abcdef"}]},
            "threads": 1,
            "logs": {"level": "warn"},
        });
        let path = dir.path(&format!("{name}.yaml"));
        fs::write(&path, settings.to_string()).unwrap();
        let spec = json!({"role": "entry", "domain": domain_of(&name), "address": peers,
            "state": "live"});
        register(platform, &name, &spec).await;
        let process = Command::new(env!("CARGO_BIN_EXE_banyanarchd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        daemons.push(Daemon {
            name,
            status_addr,
            process,
        });
    }
    daemons
}

/// Polls the daemons until the status of each satisfies `condition`, and returns the seconds that
/// this took.
async fn wait_until(daemons: &[Daemon], condition: impl Fn(&Value) -> bool) -> f64 {
    let start = Instant::now();
    loop {
        let statuses = join_all(daemons.iter().map(read_status)).await;
        if statuses
            .iter()
            .all(|status| status.as_ref().is_some_and(&condition))
        {
            return start.elapsed().as_secs_f64();
        }
        assert!(
            start.elapsed() < CONVERGENCE_TIMEOUT,
            "no convergence before the timeout"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_status(daemon: &Daemon) -> Option<Value> {
    call_json(daemon.status_addr, Method::GET, "/status", &Value::Null)
        .await
        .ok()
}

async fn total_control_bytes(daemons: &[Daemon]) -> f64 {
    let statuses = join_all(daemons.iter().map(read_status)).await;
    let bytes = |status: Option<Value>| status.and_then(|status| status["control_bytes"].as_f64());
    statuses.into_iter().filter_map(bytes).sum()
}

fn total_cpu_s(daemons: &[Daemon]) -> f64 {
    let seconds = |daemon: &Daemon| {
        let stat = fs::read_to_string(format!("/proc/{}/stat", daemon.process.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>().ok()? + fields[12].parse::<f64>().ok()?;
        Some(ticks / TICKS_PER_SECOND)
    };
    daemons.iter().filter_map(seconds).sum()
}

fn rss_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

/// Publishes the manifest as the generation after `published`, and returns it.
async fn publish(platform: SocketAddr, published: Option<PublishedManifest>) -> PublishedManifest {
    let example = include_str!("../../examples/desai/manifest.yaml");
    let last = published.map_or(Generation(0), |published| published.generation);
    let text = format!("{example}\n# {last}\n");
    let next = PublishedManifest::next_after(last, last.0.into(), &text);
    let mut object = json!({"metadata": {"name": "current"}, "spec": &next});
    if last == Generation(0) {
        call_json(
            platform,
            Method::POST,
            &format!("{API_PATH}manifests"),
            &object,
        )
        .await
        .unwrap();
    } else {
        let path = format!("{API_PATH}manifests/current");
        let current = call_json(platform, Method::GET, &path, &Value::Null)
            .await
            .unwrap();
        object["metadata"] = current["metadata"].clone();
        call_json(platform, Method::PUT, &path, &object)
            .await
            .unwrap();
    }
    next
}

async fn register(platform: SocketAddr, name: &str, spec: &Value) {
    let object = json!({"metadata": {"name": name}, "spec": spec});
    call_json(
        platform,
        Method::POST,
        &format!("{API_PATH}machines"),
        &object,
    )
    .await
    .unwrap();
}

fn alive_count(status: &Value) -> usize {
    let hosts = status["hosts"].as_array();
    hosts.map_or(0, |hosts| {
        hosts.iter().filter(|host| host["state"] == "alive").count()
    })
}

fn state_of<'a>(status: &'a Value, host: &str) -> Option<&'a str> {
    let hosts = status["hosts"].as_array()?;
    hosts.iter().find(|seen| seen["host"] == host)?["state"].as_str()
}

/// Returns the failure domain in a host name, such as `domain-3` for `domain-3-007`.
fn domain_of(name: &str) -> &str {
    name.rsplit_once('-').map_or(name, |(domain, _)| domain)
}

/// Returns loopback addresses with ports that are free at the moment.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}
