//! A node that lost its path to a runner reaches it through another node, and that node is killed
//! while an answer without a length passes through it.

#[path = "../common/mod.rs"]
mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use common::client::Answer;
use common::client::End;
use common::client::Request;
use common::json::Json;
use common::node::Node;
use common::record::Record;
use common::runner::Handler;
use common::runner::Runner;
use common::runner::success_head;
use common::store::Store;

/// The events of one answer, as on the sheet of the short requests.
const EVENTS: u32 = 35;
/// The time between two events: 46 steps of 0.925 ms.
const EVENT_INTERVAL: Duration = Duration::from_millis(43);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// A node is killed once so many events of an answer have passed through it.
const EVENTS_BEFORE_KILL: u32 = 8;
/// How often the node is killed.
const KILLS: u32 = 3;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"r-short","hostname":"site.example","path-prefix":"/short/","route-kind":"streaming","timeout-ms":10000,"slo-ms":300,"priority":1,"service":"llm","max-attempts":2,"public":false,"affinity":true,"resumable":true,"gap-target-ms":200}],
"services":[{"name":"llm","health-path":"/healthz","max-conns":264,"protocol":"h1","tls":false,"engine":{"slots":16,"kv-capacity":450000,"kv-token-bytes":327680,"link-mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":13229,"answer":1541},"hop-ms":0.1}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"]}]}"#;

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// The zone of each node. The first one serves the clients, the second one is killed.
const NODE_ZONES: [usize; 4] = [0, 1, 2, 2];
/// The number of runners. The first one loses its path to the first node: a fifth of the runners, and
/// a quarter of the nodes.
const RUNNERS: usize = 5;

/// How many events each request has got from a runner, by the zone from which it was connected.
type Progress = Arc<Mutex<HashMap<String, (usize, u32)>>>;

/// What runners do: they stream their events, and end the answer with the connection.
fn handler(record: Record, progress: Progress) -> Handler {
    Arc::new(move |runner, request, stream| {
        if request.target() == "/report" {
            let body = r#"{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv-in-use":0,"kv-size":450000,"kv-handles":0,"pace":1}"#;
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all((head + body).as_bytes());
            return;
        }
        let id = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let local = stream.local_addr().map(|addr| addr.ip().to_string());
        let zone = zone_of(&local.unwrap_or_default());
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first = after.unwrap_or(0) + 1;
        record.line(format!(
            "run {id} at {} from {} on, by zone {}",
            runner.id(),
            first,
            ZONES[zone]
        ));
        sleep(EVENT_INTERVAL);
        let head = success_head(request, "text/event-stream", "");
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for event in first..=EVENTS {
            is_open &= stream.write_all(event_text(event).as_bytes()).is_ok();
            if !is_open {
                record.line(format!("run {id} ended by the caller before event {event}"));
                break;
            }
            let key = if runner.name == "r0" {
                id.clone()
            } else {
                String::new()
            };
            progress
                .lock()
                .expect("progress")
                .insert(key, (zone, event));
            sleep(EVENT_INTERVAL);
        }
        if is_open {
            record.line(format!("run {id} whole"));
        }
        progress.lock().expect("progress").remove(&id);
        // The answer has no length: it ends with its connection.
        let _ = stream.shutdown(Shutdown::Both);
    })
}

fn event_text(event: u32) -> String {
    format!("id: {event}\ndata: {}\n\n", "word ".repeat(20))
}

/// The zone that connects to an address of a runner, which its last byte tells.
fn zone_of(ip: &str) -> usize {
    let last = ip
        .rsplit('.')
        .next()
        .and_then(|last| last.parse::<usize>().ok());
    last.unwrap_or(0) % 3
}

fn main() {
    let dir = common::case_dir();
    let temp = std::env::temp_dir().join(format!("review-1-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("no temporary folder");
    let record = Record::create(&dir);
    let code = run(&record, &temp, common::has_trouble());
    let _ = std::fs::remove_dir_all(&temp);
    exit(code);
}

fn run(record: &Record, temp: &Path, has_trouble: bool) -> i32 {
    let store = Store::default();
    store.put("config", "main", Json::parse(MANIFEST));
    let progress = Progress::default();
    // Nothing listens at this address, so connections are refused.
    let cut_addr = format!("{}:9", common::loopback_ip(240));
    let mut addresses: [Vec<(String, String)>; 3] = Default::default();
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        // One address for each zone, by which the runner sees where a connection comes from.
        let ips: Vec<String> = (0..3)
            .map(|zone| common::loopback_ip(99 + 3 * index as u8 + zone as u8))
            .collect();
        let handler = handler(record.clone(), Arc::clone(&progress));
        let zone = ZONES[index % 3];
        let (runner, addrs) = Runner::start(&format!("r{index}"), "llm", zone, 16, &ips, handler);
        for (zone, addr) in addrs.iter().enumerate() {
            let is_cut = has_trouble && index == 0 && zone == 0;
            let used = if is_cut { &cut_addr } else { addr };
            addresses[zone].push((runner.addr.clone(), used.clone()));
        }
        runner.register(&store, "ready");
        runners.push(runner);
    }
    let mut nodes = Vec::new();
    for (index, zone) in NODE_ZONES.iter().enumerate() {
        let store_addr = store.serve(
            ZONES[*zone],
            &common::loopback_ip(250),
            addresses[*zone].clone(),
        );
        let ip = common::loopback_ip(1 + index as u8);
        let name = format!("n{index}");
        let mut node = Node::new(temp, &name, ZONES[*zone], &ZONES, &ip, &store_addr);
        node.start();
        nodes.push(node);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(15)))
    {
        record.line("a node did not become ready");
        return 2;
    }
    sleep(Duration::from_secs(5));
    record.line("the clients begin");
    let front = nodes[0].front.clone();
    let kill_record = record.clone();
    let mut senders = Vec::new();
    let mut kills = 0;
    let mut kill_after = Instant::now() + Duration::from_secs(4);
    let started_at = Instant::now();
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(40) && (kills < KILLS || !has_trouble) {
        if !has_trouble && started_at.elapsed() > Duration::from_secs(25) {
            break;
        }
        number += 1;
        let (record, front) = (record.clone(), front.clone());
        senders.push(spawn(move || send_one(&record, &front, number)));
        sleep(REQUEST_INTERVAL);
        let is_passing = progress
            .lock()
            .expect("progress")
            .iter()
            .any(|(id, (zone, events))| {
                !id.is_empty()
                    && *zone == 1
                    && *events >= EVENTS_BEFORE_KILL
                    && *events < EVENTS - 5
            });
        if has_trouble && is_passing && Instant::now() > kill_after {
            kills += 1;
            kill_and_restart(&mut nodes[1], &kill_record);
            kill_after = Instant::now() + Duration::from_secs(8);
        }
    }
    record.line(format!("{kills} kills"));
    let outcomes = senders
        .into_iter()
        .map(|sender| sender.join().unwrap_or(Outcome::Other));
    let outcomes: Vec<Outcome> = outcomes.collect();
    if has_trouble && kills == 0 {
        record.line("no answer passed through the node that was to be killed");
        return 2;
    }
    judge(record, &outcomes)
}

/// Kills a node with SIGKILL and starts it again a second later, as the platform does.
fn kill_and_restart(node: &mut Node, record: &Record) {
    record.line(format!("{} of zone {} is killed", node.name, node.zone));
    node.kill();
    sleep(Duration::from_secs(1));
    node.start();
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// All events, in order, and the end.
    Whole,
    /// Events are missing, and the answer looks complete.
    FalselyComplete,
    /// The answer was broken off, and looks so.
    BrokenOff,
    /// Any other answer.
    Other,
}

fn send_one(record: &Record, front: &str, number: u32) -> Outcome {
    let request = Request {
        method: "POST",
        path: "/short/one".to_owned(),
        host: "site.example",
        id: format!("s{number:05}"),
        deadline_ms: 10_000,
        key: "key-1".to_owned(),
        headers: vec![
            "X-Model: m".to_owned(),
            "X-Token-Count: 5000,1610".to_owned(),
            format!("X-Prefix-Hash: 5c1e07a2:40,{number:08x}:4960"),
            "Connection: close".to_owned(),
        ],
        body: format!("prompt {number}").into_bytes(),
    };
    let answer = request.send(front);
    let (outcome, events) = outcome_of(&answer);
    record.line(format!(
        "client {}: answered {}, {events} of {EVENTS} events, {:?}: {outcome:?}",
        request.id, answer.status, answer.end
    ));
    outcome
}

/// The outcome of an answer, and the number of its events.
fn outcome_of(answer: &Answer) -> (Outcome, u32) {
    let body = String::from_utf8_lossy(&answer.message.body).into_owned();
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u32> = ids.filter_map(|id| id.parse().ok()).collect();
    let is_whole = ids == (1..=EVENTS).collect::<Vec<u32>>();
    let outcome = match (answer.status, answer.end) {
        (200, End::Complete) if is_whole => Outcome::Whole,
        (200, End::Complete) => Outcome::FalselyComplete,
        (200, End::BrokenOff) => Outcome::BrokenOff,
        _ => Outcome::Other,
    };
    (outcome, ids.len() as u32)
}

fn judge(record: &Record, outcomes: &[Outcome]) -> i32 {
    let count = |kind: Outcome| outcomes.iter().filter(|outcome| **outcome == kind).count();
    let broken = count(Outcome::FalselyComplete);
    record.line(format!(
        "{} requests: {} whole, {broken} ended as complete before the last event, {} broken off, {} \
         other",
        outcomes.len(),
        count(Outcome::Whole),
        count(Outcome::BrokenOff),
        count(Outcome::Other)
    ));
    record.line(if broken > 0 {
        "ORDER is broken"
    } else {
        "held"
    });
    i32::from(broken > 0)
}
