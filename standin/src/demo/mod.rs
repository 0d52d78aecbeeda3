//! A demo of the whole path as separate processes; an engine and an entry host are killed during
//! the run.

mod requests;
mod resend;
mod tally;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::Value;
use tokio::task::JoinSet;

pub use tally::Tally;

use crate::demo::requests::generate_requests;
use crate::demo::resend::ResolvedRequest;
use crate::demo::resend::send_until_resolved;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::FleetPlan;
use crate::http::call_json;

use banyanarch::units::BoundedTime;

const DOMAIN: &str = "sg-highway";
const ENGINES: usize = 4;
const SERVICES: usize = 2;
const HOSTS: usize = 3;
/// Fractions of the duration after which an engine and an entry host are killed.
const ENGINE_KILL_FRACTION: f64 = 0.33;
const HOST_KILL_FRACTION: f64 = 0.6;

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The seed of the requests.
    pub seed: u64,
    /// How long requests arrive; their number is proportional to it.
    pub duration: Duration,
    /// Whether the logs are kept after the run.
    pub keep: bool,
}

/// Runs the demo, killing an engine and an entry host, and prints its table. If a request was lost
/// or ran twice, prints the end of the host logs to standard error and keeps all logs.
pub async fn run(options: &DemoOptions) -> Result<Tally, FleetError> {
    let plan = FleetPlan::new(&[DOMAIN], ENGINES, SERVICES, HOSTS);
    println!("starting {ENGINES} engines, {SERVICES} service instances and {HOSTS} entry hosts");
    let mut fleet = Fleet::start(&plan).await?;
    let hosts: Arc<[SocketAddr]> = fleet.callers_addrs().into();
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for request in generate_requests(options.seed, options.duration) {
        callers.spawn(send_until_resolved(request, Arc::clone(&hosts), start));
    }
    tokio::time::sleep_until((start + options.duration.scaled(ENGINE_KILL_FRACTION)).into()).await;
    kill_busiest_engine(&mut fleet).await;
    tokio::time::sleep_until((start + options.duration.scaled(HOST_KILL_FRACTION)).into()).await;
    kill_host(&mut fleet);
    let resolved: Vec<ResolvedRequest> = callers.join_all().await;
    let tally = Tally::new(&resolved, &fleet.runs()?);
    print!("{}", tally.to_text());
    if !tally.is_clean() {
        eprintln!("{}", fleet.host_logs());
    }
    if options.keep || !tally.is_clean() {
        fleet.keep_dir();
    }
    Ok(tally)
}

/// Kills the engine that lists the most attempts.
async fn kill_busiest_engine(fleet: &mut Fleet) {
    let mut busiest = (0, 0);
    for (index, engine) in fleet.engines.iter().enumerate() {
        let listed = call_json(engine.addr, Method::GET, "/v1/attempts", &Value::Null).await;
        let count = listed.map_or(0, |listed| listed.as_array().map_or(0, Vec::len));
        busiest = busiest.max((count, index));
    }
    let (count, index) = busiest;
    let child = &mut fleet.engines[index].child;
    println!("killing {} with {count} requests in it", child.name);
    child.kill();
}

/// Kills the last entry host of the fleet.
fn kill_host(fleet: &mut Fleet) {
    if let Some(host) = fleet.hosts.last_mut() {
        println!("killing {}", host.child.name);
        host.child.kill();
    }
}
