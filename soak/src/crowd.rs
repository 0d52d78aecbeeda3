//! A crowd of clients that do not behave at one host, and the memory and descriptors that it takes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyanarch_platform::stand_in::ProcessLimits;
use banyanarch_platform::stand_in::RETRY_BOUND;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::crowd_client;
use crate::crowd_kind::BODY_MAX;
use crate::crowd_kind::CrowdKind;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSize;
use crate::deployment::lock;

/// The time in which hosts read the manifest.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// The interval at which memory and descriptors are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The number of times that a client connects again if the host closes its connection or refuses it.
const ROUNDS: usize = 100;
/// The pause before that.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
/// The attempts of an ordinary caller that is told to come back, and the pause between them.
const ORDINARY_ATTEMPTS: usize = 20;
const ORDINARY_PAUSE: Duration = Duration::from_millis(250);
/// The bodies of ordinary requests.
const SMALL_BODY: usize = 1_000;
const LARGE_BODY: usize = 200_000;
const BYTES_PER_MB: f64 = 1e6;

/// The crowd and the settings of the host that it meets.
#[derive(Clone, Copy, Debug)]
pub struct CrowdConf {
    /// What the clients send.
    pub kind: CrowdKind,
    /// The number of clients.
    pub clients: usize,
    /// The memory of the host, in MB.
    pub memory_mb: f64,
    /// The descriptors of the host.
    pub descriptors: usize,
}

/// What was seen of the host.
#[derive(Clone, Copy, Debug)]
pub struct CrowdReport {
    /// Whether the process still runs.
    pub is_running: bool,
    /// The largest resident memory of the process, in bytes.
    pub memory_peak_bytes: u64,
    /// The largest number of open descriptors that was seen.
    pub descriptors_peak: usize,
    /// Whether an ordinary request of another customer was answered while the crowd stayed.
    pub is_other_customer_served: bool,
    /// The same for a request of the crowd's own customer.
    pub is_same_customer_served: bool,
    /// The same for a request of another customer with a body of 200 KB.
    pub is_large_body_served: bool,
    /// Whether a request of the largest size was answered after the crowd had left.
    pub is_largest_served_in_calm: bool,
}

impl CrowdReport {
    /// Whether the host kept within its limits and served all ordinary requests.
    pub fn has_passed(&self, conf: &CrowdConf) -> bool {
        self.is_running
            && self.memory_peak_bytes as f64 <= conf.memory_mb * BYTES_PER_MB
            && self.descriptors_peak <= conf.descriptors
            && self.is_other_customer_served
            && self.is_same_customer_served
            && self.is_large_body_served
            && self.is_largest_served_in_calm
    }
}

/// Sends a crowd to a host that runs `program` with the lowered limits. Logs are written into `dir`.
pub async fn run_crowd(conf: &CrowdConf, program: &Path, dir: &Path) -> io::Result<CrowdReport> {
    let size = DeploymentSize {
        hosts: 1,
        engines: 1,
        instances: 1,
    };
    let limits = ProcessLimits {
        memory_mb: Some(conf.memory_mb),
        descriptors: Some(conf.descriptors),
    };
    let deployment = Deployment::start(size, None, RETRY_BOUND, limits, program, dir).await?;
    sleep(STARTUP_TIME).await;
    let (host, process) = {
        let host = lock(&deployment.hosts[0]);
        (host.conf.callers_addr, host.id().unwrap_or_default())
    };
    let descriptors_peak = Arc::new(AtomicUsize::new(0));
    let sampling = tokio::spawn(sample_descriptors(process, Arc::clone(&descriptors_peak)));
    let crowd = Crowd::gather(*conf, host).await;
    let is_other_customer_served = is_served(host, 1, 1, SMALL_BODY).await;
    let is_same_customer_served = is_served(host, 2, 0, SMALL_BODY).await;
    let is_large_body_served = is_served(host, 3, 1, LARGE_BODY).await;
    crowd.leave().await;
    let is_largest_served_in_calm = is_served(host, 4, 1, BODY_MAX).await;
    sampling.abort();
    let memory_peak_bytes = memory_peak_bytes(process).unwrap_or(0);
    let is_running = lock(&deployment.hosts[0]).is_running();
    Ok(CrowdReport {
        is_running,
        memory_peak_bytes,
        descriptors_peak: descriptors_peak.load(Ordering::Relaxed),
        is_other_customer_served,
        is_same_customer_served,
        is_large_body_served,
        is_largest_served_in_calm,
    })
}

/// The clients of a crowd, which come again if the host answers or closes their connections.
struct Crowd {
    clients: JoinSet<()>,
    stop: watch::Sender<bool>,
}

impl Crowd {
    /// Starts the clients, and returns once each has sent what it sends.
    async fn gather(conf: CrowdConf, host: SocketAddr) -> Self {
        let stop = watch::Sender::new(false);
        let (sent, mut all_sent) = mpsc::channel(conf.clients);
        let mut clients = JoinSet::new();
        for client in 0..conf.clients {
            let client = CrowdClient {
                kind: conf.kind,
                host,
                number: client,
                sent: sent.clone(),
            };
            let mut stopped = stop.subscribe();
            clients.spawn(async move {
                tokio::select! {
                    () = client.run() => {}
                    _ = stopped.changed() => {}
                }
            });
        }
        drop(sent);
        for _ in 0..conf.clients {
            all_sent.recv().await;
        }
        Self { clients, stop }
    }

    /// Has all clients leave.
    async fn leave(mut self) {
        self.stop.send_replace(true);
        while self.clients.join_next().await.is_some() {}
    }
}

struct CrowdClient {
    kind: CrowdKind,
    host: SocketAddr,
    number: usize,
    sent: mpsc::Sender<()>,
}

impl CrowdClient {
    /// Sends what a client of this kind does, and again on a new connection if the host answers or closes
    /// the last one.
    async fn run(self) {
        for round in 0..ROUNDS {
            let request = format!("crowd-{}-{round}", self.number);
            let stream = crowd_client::send(self.kind, self.host, &request, &key(0)).await;
            if round == 0 {
                let _ = self.sent.try_send(());
            }
            if let Ok(mut stream) = stream {
                let _ = stream.read(&mut [0; 256]).await;
            }
            sleep(ROUND_PAUSE).await;
        }
    }
}

/// Whether a request of this customer with a body of this length is served, by an ordinary caller that
/// comes back if it is told so.
async fn is_served(host: SocketAddr, number: usize, customer: usize, body_len: usize) -> bool {
    for attempt in 0..ORDINARY_ATTEMPTS {
        let request = format!("ordinary-{number}-{attempt}");
        let answer = crowd_client::call(host, &request, &key(customer), body_len).await;
        if answer.is_ok_and(|status| status == 200) {
            return true;
        }
        sleep(ORDINARY_PAUSE).await;
    }
    false
}

/// The key of a customer.
fn key(customer: usize) -> String {
    format!("key-{customer}-0")
}

/// Keeps the largest number of descriptors that a process has open, until it ends.
async fn sample_descriptors(process: u32, peak: Arc<AtomicUsize>) {
    while let Ok(open) = std::fs::read_dir(format!("/proc/{process}/fd")) {
        peak.fetch_max(open.count(), Ordering::Relaxed);
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// The largest resident memory that a process has had; none if it has ended.
fn memory_peak_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = peak.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kilobytes << 10)
}
