//! Overhead of the path through an entry host: the same load is sent directly to a fake engine and
//! through one host, in alternating rounds of one run.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::task::JoinSet;

use crate::caller::CallOutcome;
use crate::caller::CallerRequest;
use crate::caller::RequestKind;
use crate::caller::SendResult;
use crate::caller::percentile_ms;
use crate::caller::send;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::FleetPlan;
use crate::load::HOMES_SETTLE_TIME;
use crate::load::LoadOptions;
use crate::load::run_report::RunReport;

pub(crate) const NAME: &str = "path-cost";

const DOMAIN: &str = "hall-a";
const ROUNDS: u64 = 3;
const CALLERS: u64 = 8;
const CALLS_PER_ROUND: u64 = 10;
const PROMPT_TOKENS: u64 = 2_000;
const OUTPUT_TOKENS: u64 = 96;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks a second of the processor times in /proc. Linux fixes the value for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Results and processor times of one path, summed over its rounds.
#[derive(Debug, Default)]
struct PathMeasurement {
    results: Vec<SendResult>,
    wall_time: Duration,
    host_cpu_s: f64,
    engine_cpu_s: f64,
}

/// Measures both paths in alternating rounds and compares them.
pub(crate) async fn run(options: &LoadOptions) -> Result<RunReport, FleetError> {
    let mut plan = FleetPlan::new(&[DOMAIN], 1, 0, 1);
    plan.policy = options.policy;
    let mut fleet = Fleet::start(&plan).await?;
    if options.keep {
        fleet.keep_dir();
    }
    tokio::time::sleep(HOMES_SETTLE_TIME).await;
    let (engine, host) = (fleet.engines[0].addr, fleet.hosts[0].callers_addr);
    let mut direct = PathMeasurement::default();
    let mut through_host = PathMeasurement::default();
    // The first round warms up the path and is not counted.
    run_round(&fleet, host, 1_000, &mut PathMeasurement::default()).await?;
    for nth in 0..ROUNDS {
        run_round(&fleet, engine, 2 * nth, &mut direct).await?;
        run_round(&fleet, host, 2 * nth + 1, &mut through_host).await?;
    }
    Ok(report(&direct, &through_host))
}

/// Sends the calls of one round to `addr` and adds the results to `measurement`.
async fn run_round(
    fleet: &Fleet,
    addr: SocketAddr,
    round: u64,
    measurement: &mut PathMeasurement,
) -> Result<(), FleetError> {
    let host_pid = fleet.hosts[0].child.pid();
    let engine_pid = fleet.engines[0].child.pid();
    let before = (cpu_s(host_pid)?, cpu_s(engine_pid)?);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(send_sequentially(addr, round * 1_000 + caller * 100));
    }
    let results = callers.join_all().await;
    measurement.wall_time += start.elapsed();
    measurement.results.extend(results.into_iter().flatten());
    measurement.host_cpu_s += cpu_s(host_pid)? - before.0;
    measurement.engine_cpu_s += cpu_s(engine_pid)? - before.1;
    Ok(())
}

async fn send_sequentially(addr: SocketAddr, first_number: u64) -> Vec<SendResult> {
    let mut all = Vec::new();
    for number in first_number..first_number + CALLS_PER_ROUND {
        let request = new_request(number);
        let body = request.body();
        all.push(send(addr, &request, body, Instant::now()).await);
    }
    all
}

fn new_request(number: u64) -> CallerRequest {
    CallerRequest {
        number,
        arrival: Duration::ZERO,
        kind: RequestKind::Completion,
        customer: "default".to_owned(),
        prompt_tokens: PROMPT_TOKENS,
        prefix_group: number,
        prefix_tokens: 0,
        max_tokens: OUTPUT_TOKENS,
        timeout: TIMEOUT,
        repeatable: true,
        key: None,
    }
}

fn report(direct: &PathMeasurement, through_host: &PathMeasurement) -> RunReport {
    let ttft = (direct.ttft_ms(50.0), through_host.ttft_ms(50.0));
    let ttft_p95 = (direct.ttft_ms(95.0), through_host.ttft_ms(95.0));
    let rate = (direct.tokens_per_s(), through_host.tokens_per_s());
    let engine_cpu = (direct.engine_cpu_ms(), through_host.engine_cpu_ms());
    let host_cpu = through_host.host_cpu_ms();
    let text = format!(
        "path-cost: {CALLERS} callers, prompts of {PROMPT_TOKENS} tokens\n\n\
         {:<28}{:>10}{:>10}{:>8}\n\
         {:<28}{:>10}{:>10}\n\
         {:<28}{:>10.1}{:>10.1}{:>8.3}\n\
         {:<28}{:>10.1}{:>10.1}{:>8.3}\n\
         {:<28}{:>10.0}{:>10.0}{:>8.3}\n\
         {:<28}{:>10.2}{:>10.2}{:>8.3}\n\
         {:<28}{:>10}{:>10.2}\n\
         ttft ratio {:.3}, tokens a second ratio {:.3}, host over engine processor time {:.3}\n",
        "",
        "direct",
        "host",
        "ratio",
        "completed",
        direct.completed_count(),
        through_host.completed_count(),
        "ttft p50, ms",
        ttft.0,
        ttft.1,
        ttft.1 / ttft.0,
        "ttft p95, ms",
        ttft_p95.0,
        ttft_p95.1,
        ttft_p95.1 / ttft_p95.0,
        "tokens a second",
        rate.0,
        rate.1,
        rate.1 / rate.0,
        "engine processor ms/request",
        engine_cpu.0,
        engine_cpu.1,
        engine_cpu.1 / engine_cpu.0,
        "host processor ms/request",
        "-",
        host_cpu,
        ttft.1 / ttft.0,
        rate.1 / rate.0,
        host_cpu / engine_cpu.0,
    );
    RunReport {
        json: json!({
            "scenario": NAME,
            "ttft_p50_ms": [ttft.0, ttft.1],
            "ttft_p95_ms": [ttft_p95.0, ttft_p95.1],
            "tokens_per_s": [rate.0, rate.1],
            "engine_cpu_ms": [engine_cpu.0, engine_cpu.1],
            "host_cpu_ms": host_cpu,
            "completed": [direct.completed_count(), through_host.completed_count()],
        }),
        html: format!("<!doctype html><title>path-cost</title><pre>{text}</pre>\n"),
        text,
    }
}

impl PathMeasurement {
    fn completed_count(&self) -> usize {
        let completed = self
            .results
            .iter()
            .filter(|result| result.outcome == CallOutcome::Completed);
        completed.count()
    }

    fn ttft_ms(&self, percent: f64) -> f64 {
        let first: Vec<Duration> = self
            .results
            .iter()
            .filter_map(|result| result.first_token)
            .collect();
        percentile_ms(&first, percent).unwrap_or(f64::NAN)
    }

    fn tokens_per_s(&self) -> f64 {
        let tokens: u64 = self.results.iter().map(|result| result.output_tokens).sum();
        tokens as f64 / self.wall_time.as_secs_f64()
    }

    fn host_cpu_ms(&self) -> f64 {
        1_000.0 * self.host_cpu_s / self.results.len() as f64
    }

    fn engine_cpu_ms(&self) -> f64 {
        1_000.0 * self.engine_cpu_s / self.results.len() as f64
    }
}

/// Returns the processor time that a process has used in user and kernel mode, in seconds.
fn cpu_s(pid: u32) -> Result<f64, FleetError> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').unwrap_or(("", ""));
    // After the command name, user and system time are the 12th and 13th field.
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}
