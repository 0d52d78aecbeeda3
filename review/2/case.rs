//! A request that crashes each runner that begins to run it comes again every three seconds.

#[path = "../common/mod.rs"]
mod common;

use std::io::Write;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use common::client::Request;
use common::json::Json;
use common::node::Node;
use common::record::Record;
use common::runner::Handler;
use common::runner::Runner;
use common::runner::success_head;
use common::store::Store;

/// The time between two requests of the client whose request crashes runners.
const REPEAT_INTERVAL: Duration = Duration::from_secs(3);
/// How often that request is sent.
const REPEATS: u32 = 25;
/// How long a runner that crashed is away: "some seconds".
const AWAY: Duration = Duration::from_secs(2);
/// After this time the store removes the entry of a runner that is silent: three liveness reports.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// How long a runner works on an ordinary request.
const WORK: Duration = Duration::from_millis(150);
/// The time between two ordinary requests.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(55);
/// `stability-ms` of the settings, in seconds.
const STABILITY_S: f64 = 3.0;
/// More retries than these break the rule.
const RETRIES_MAX: usize = 3;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"r-post","hostname":"site.example","path-prefix":"/post/","route-kind":"unsafe","timeout-ms":4000,"slo-ms":300,"priority":2,"service":"app","max-attempts":1,"public":false,"affinity":false}],
"services":[{"name":"app","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key-1"]},{"name":"t2","api-keys":["key-2"]}]}"#;

const ZONES: [&str; 3] = ["z1", "z2", "z3"];

fn post(id: String, key: &str, name: &str, body: &str) -> Request {
    Request {
        method: "POST",
        path: format!("/post/{name}"),
        host: "site.example",
        id,
        deadline_ms: 4_000,
        key: key.to_owned(),
        headers: vec!["Connection: close".to_owned()],
        body: body.as_bytes().to_vec(),
    }
}

/// What runners do: they crash as they begin to run the bad request, and answer all others.
fn handler(record: Record, store: Store, crashes: Arc<Mutex<Vec<f64>>>) -> Handler {
    Arc::new(move |runner, request, stream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        if request.target() == "/post/bad" {
            record.line(format!("run {id} at {}: the runner crashes", runner.id()));
            crashes.lock().expect("crashes").push(record.now_s());
            let old = runner.id();
            runner.crash();
            record.line(format!("crashed {old}"));
            let store = store.clone();
            spawn(move || {
                sleep(ENTRY_LIFETIME);
                store.remove("servers", &old);
            });
            return;
        }
        record.line(format!("run {id} at {}", runner.id()));
        sleep(WORK);
        let head = success_head(request, "text/plain", "Content-Length: 800\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&[b'x'; 800]);
    })
}

fn main() {
    let dir = common::case_dir();
    let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("no temporary folder");
    let record = Record::create(&dir);
    let has_trouble = common::has_trouble();
    let code = run(&record, &temp, has_trouble);
    let _ = std::fs::remove_dir_all(&temp);
    exit(code);
}

fn run(record: &Record, temp: &std::path::Path, has_trouble: bool) -> i32 {
    let store = Store::default();
    store.put("config", "main", Json::parse(MANIFEST));
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let mut runners = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let handler = handler(record.clone(), store.clone(), Arc::clone(&crashes));
        let ip = common::loopback_ip(100 + index as u8);
        let (runner, _) = Runner::start(&format!("a{index}"), "app", zone, 6, &[ip], handler);
        runner.register(&store, "ready");
        runners.push(runner);
    }
    // A runner that has crashed is back after some seconds, with a new id.
    for runner in &runners {
        let (runner, store, record) = (Arc::clone(runner), store.clone(), record.clone());
        spawn(move || {
            loop {
                sleep(Duration::from_millis(20));
                if !runner.is_up() {
                    sleep(AWAY);
                    runner.restart();
                    sleep(Duration::from_millis(200));
                    runner.register(&store, "ready");
                    record.line(format!("started {}", runner.id()));
                }
            }
        });
    }
    let mut nodes = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let store_addr = store.serve(zone, &common::loopback_ip(250), Vec::new());
        let ip = common::loopback_ip(1 + index as u8);
        let mut node = Node::new(temp, &format!("n{index}"), zone, &ZONES, &ip, &store_addr);
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
    // The nodes get to know each other before the requests come.
    sleep(Duration::from_secs(6));
    record.line("the clients begin");
    let fronts: Vec<String> = nodes.iter().map(|node| node.front.clone()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU32::new(0));
    let ordinary = spawn({
        let (record, fronts) = (record.clone(), fronts.clone());
        let (is_over, lost) = (Arc::clone(&is_over), Arc::clone(&lost));
        move || send_ordinary(&record, &fronts, &is_over, &lost)
    });
    for repeat in 0..REPEATS {
        let name = if has_trouble { "bad" } else { "good" };
        let request = post(format!("bad{repeat:03}"), "key-1", name, "the same body");
        let front = &fronts[repeat as usize % fronts.len()];
        let sent_s = record.now_s();
        let answer = request.send(front);
        record.line(format!(
            "client {}: sent at {sent_s:.3} to node {}, answered {}",
            request.id,
            repeat as usize % fronts.len(),
            answer.status
        ));
        let next = sent_s + REPEAT_INTERVAL.as_secs_f64();
        sleep(Duration::from_secs_f64((next - record.now_s()).max(0.0)));
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = ordinary.join();
    judge(
        record,
        &crashes.lock().expect("crashes"),
        lost.load(Ordering::SeqCst),
    )
}

/// Sends ordinary requests of another tenant to all nodes in turn.
fn send_ordinary(record: &Record, fronts: &[String], is_over: &AtomicBool, lost: &Arc<AtomicU32>) {
    let mut number = 0;
    let mut senders = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let request = post(
            format!("ord{number:05}"),
            "key-2",
            "one",
            &format!("b{number}"),
        );
        let front = fronts[number % fronts.len()].clone();
        let (record, lost) = (record.clone(), Arc::clone(lost));
        senders.push(spawn(move || {
            let answer = request.send(&front);
            record.line(format!("client {}: answered {}", request.id, answer.status));
            if matches!(answer.status, 0 | 502 | 504) {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }));
        sleep(ORDINARY_INTERVAL);
    }
    for sender in senders {
        let _ = sender.join();
    }
}

/// Counts the retries that reached runners later than `stability-ms` after the third crash.
fn judge(record: &Record, crashes: &[f64], lost: u32) -> i32 {
    let late = crashes.get(2).map_or(0, |third| {
        let late = crashes.iter().filter(|at| **at > third + STABILITY_S);
        late.count()
    });
    record.line(format!(
        "the request crashed {} runners; {late} of its retries reached one later than {STABILITY_S} s \
         after the third crash (allowed: {RETRIES_MAX}); other requests lost: {lost}",
        crashes.len()
    ));
    let is_broken = late > RETRIES_MAX;
    record.line(if is_broken {
        "BUDGET is broken"
    } else {
        "held"
    });
    i32::from(is_broken)
}
