//! Overhead of the path through an entry host: the same load is sent directly to a fake engine and
//! through one host, in alternating rounds of one run.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::task::JoinSet;

use crate::caller::Ask;
use crate::caller::Sent;
use crate::caller::Target;
use crate::caller::Verdict;
use crate::caller::percentile_ms;
use crate::caller::send;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::FleetPlan;
use crate::load::LoadOptions;
use crate::load::SETTLE;
use crate::load::outcome::Outcome;

pub(crate) const NAME: &str = "path-cost";

const DOMAIN: &str = "hall-a";
const ROUNDS: u64 = 3;
const CALLERS: u64 = 8;
const CALLS_A_ROUND: u64 = 10;
const PROMPT_TOKENS: u64 = 2_000;
const OUTPUT_TOKENS: u64 = 96;
const LIMIT: Duration = Duration::from_secs(20);
/// Clock ticks a second of the processor times in /proc. Linux fixes the value for user space.
const TICKS_PER_SECOND: f64 = 100.0;

#[derive(Debug, Default)]
struct Side {
    sent: Vec<Sent>,
    wall: Duration,
    host_cpu_s: f64,
    engine_cpu_s: f64,
}

/// Measures both paths in alternating rounds and compares them.
pub(crate) async fn run(options: &LoadOptions) -> Result<Outcome, FleetError> {
    let mut plan = FleetPlan::new(&[DOMAIN], 1, 0, 1);
    plan.policy = options.policy;
    let mut fleet = Fleet::start(&plan).await?;
    if options.keep {
        fleet.keep_dir();
    }
    tokio::time::sleep(SETTLE).await;
    let (engine, host) = (fleet.engines[0].addr, fleet.hosts[0].callers);
    let mut direct = Side::default();
    let mut through = Side::default();
    round(&fleet, host, 1_000, &mut Side::default()).await?;
    for nth in 0..ROUNDS {
        round(&fleet, engine, 2 * nth, &mut direct).await?;
        round(&fleet, host, 2 * nth + 1, &mut through).await?;
    }
    Ok(outcome(&direct, &through))
}

async fn round(
    fleet: &Fleet,
    addr: SocketAddr,
    round: u64,
    side: &mut Side,
) -> Result<(), FleetError> {
    let host_pid = fleet.hosts[0].child.pid();
    let engine_pid = fleet.engines[0].child.pid();
    let before = (cpu_s(host_pid)?, cpu_s(engine_pid)?);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_in_turn(addr, round * 1_000 + caller * 100));
    }
    let sent = callers.join_all().await;
    side.wall += start.elapsed();
    side.sent.extend(sent.into_iter().flatten());
    side.host_cpu_s += cpu_s(host_pid)? - before.0;
    side.engine_cpu_s += cpu_s(engine_pid)? - before.1;
    Ok(())
}

async fn call_in_turn(addr: SocketAddr, first_number: u64) -> Vec<Sent> {
    let mut all = Vec::new();
    for number in first_number..first_number + CALLS_A_ROUND {
        let ask = ask(number);
        let body = ask.body();
        all.push(send(addr, &ask, body, Instant::now()).await);
    }
    all
}

fn ask(number: u64) -> Ask {
    Ask {
        number,
        at: Duration::ZERO,
        target: Target::Completion,
        customer: "default".to_owned(),
        prompt_tokens: PROMPT_TOKENS,
        prefix_group: number,
        prefix_tokens: 0,
        max_tokens: OUTPUT_TOKENS,
        limit: LIMIT,
        repeatable: true,
        key: None,
    }
}

fn outcome(direct: &Side, through: &Side) -> Outcome {
    let ttft = (direct.ttft_ms(50.0), through.ttft_ms(50.0));
    let ttft_p95 = (direct.ttft_ms(95.0), through.ttft_ms(95.0));
    let rate = (direct.tokens_per_s(), through.tokens_per_s());
    let engine_cpu = (direct.engine_cpu_ms(), through.engine_cpu_ms());
    let host_cpu = through.host_cpu_ms();
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
        direct.completed(),
        through.completed(),
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
    Outcome {
        json: json!({
            "scenario": NAME,
            "ttft_p50_ms": [ttft.0, ttft.1],
            "ttft_p95_ms": [ttft_p95.0, ttft_p95.1],
            "tokens_per_s": [rate.0, rate.1],
            "engine_cpu_ms": [engine_cpu.0, engine_cpu.1],
            "host_cpu_ms": host_cpu,
            "completed": [direct.completed(), through.completed()],
        }),
        html: format!("<!doctype html><title>path-cost</title><pre>{text}</pre>\n"),
        text,
    }
}

impl Side {
    fn completed(&self) -> usize {
        let done = self
            .sent
            .iter()
            .filter(|sent| sent.verdict == Verdict::Completed);
        done.count()
    }

    fn ttft_ms(&self, percent: f64) -> f64 {
        let first: Vec<Duration> = self
            .sent
            .iter()
            .filter_map(|sent| sent.first_token)
            .collect();
        percentile_ms(&first, percent).unwrap_or(f64::NAN)
    }

    fn tokens_per_s(&self) -> f64 {
        let tokens: u64 = self.sent.iter().map(|sent| sent.output_tokens).sum();
        tokens as f64 / self.wall.as_secs_f64()
    }

    fn host_cpu_ms(&self) -> f64 {
        1_000.0 * self.host_cpu_s / self.sent.len() as f64
    }

    fn engine_cpu_ms(&self) -> f64 {
        1_000.0 * self.engine_cpu_s / self.sent.len() as f64
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
