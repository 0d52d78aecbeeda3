//! The decision log under more lines than can be written.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;

use banyanarch::clock::SystemClock;
use banyanarch::gateway::DecisionEvent;
use banyanarch::gateway::DecisionLog;

/// An output that takes nothing until it is let go.
struct Stuck {
    let_go: Mutex<mpsc::Receiver<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Fails, and goes on, once the test has let go for good.
        let _ = self.let_go.lock().unwrap().recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn ended(request: usize, status: u16) -> DecisionEvent {
    DecisionEvent::Ended {
        request: format!("r-{request}"),
        route: "route".to_owned(),
        customer: "acme".to_owned(),
        kind: "idempotent".into(),
        outcome: if status == 200 { "served" } else { "unknown" }.to_owned(),
        status,
        elapsed_ms: 5,
        first_event_ms: None,
        longest_pause_ms: 0,
        generation: 1,
    }
}

/// Whoever reads the logs has stopped reading. Requests wait for the log, and a fleet stands still
/// for want of a reader; or the lines of what went well push out those of what failed.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up_and_keeps_the_failures() {
    let written: Arc<Mutex<Vec<u8>>> = Arc::default();
    let (let_go, waiting) = mpsc::channel();
    let out = Stuck {
        let_go: Mutex::new(waiting),
        written: Arc::clone(&written),
    };
    let clock = Arc::new(SystemClock);
    let log = DecisionLog::new("host".parse().unwrap(), clock, Box::new(out));
    for request in 0..20_000 {
        let status = if request % 100 == 7 { 502 } else { 200 };
        log.record(ended(request, status));
    }
    // All 20,000 were noted although not a byte could be written.
    assert!(written.lock().unwrap().is_empty());
    let dropped = log.dropped_total();
    assert!(dropped > 15_000, "{dropped}");
    drop(let_go);
    log.close();
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let failures = lines.iter().filter(|line| line["status"] == 502);
    assert_eq!(failures.count(), 200, "every failure has its line");
    let told: u64 = lines
        .iter()
        .filter(|line| line["event"] == "lines_dropped")
        .map(|line| line["lines"].as_u64().unwrap())
        .sum();
    assert_eq!(told, dropped, "drops are told");
    let kept = lines.iter().filter(|line| line["event"] == "ended").count();
    assert_eq!(kept as u64 + dropped, 20_000);
}
