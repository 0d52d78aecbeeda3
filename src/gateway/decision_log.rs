//! Writes the lines of decisions without ever holding up a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use serde::Serialize;

use crate::clock::Clock;
use crate::gateway::DecisionEvent;
use crate::units::HostId;
use crate::units::whole_millis;

/// Lines that wait to be written, about 300 bytes each. A second of a host under its heaviest load.
const PENDING_MAX: usize = 2_048;
/// Of these, capacity that only lines of failures may take.
const RESERVED_FOR_FAILURES: usize = 512;
/// Lines are gathered for this long and written together: each write and each time the writer
/// wakes up costs processor time.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct Line<'a> {
    wall_ms: u64,
    host: &'a HostId,
    #[serde(flatten)]
    event: &'a DecisionEvent,
}

#[derive(Serialize)]
struct DroppedLine<'a> {
    wall_ms: u64,
    host: &'a HostId,
    event: &'static str,
    lines: u64,
}

#[derive(Default)]
struct Pending {
    lines: Vec<(u64, DecisionEvent)>,
    dropped: u64,
    dropped_total: u64,
    is_closed: bool,
}

struct Shared {
    host: HostId,
    pending: Mutex<Pending>,
    arrived: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The decision log of a host.
pub struct DecisionLog {
    clock: Arc<dyn Clock>,
    shared: Arc<Shared>,
    writer: Mutex<Option<thread::JoinHandle<()>>>,
}

impl DecisionLog {
    /// A log whose lines a thread of its own writes to `out`.
    pub fn new(host: HostId, clock: Arc<dyn Clock>, out: Box<dyn Write + Send>) -> Self {
        let shared = Arc::new(Shared {
            host,
            pending: Mutex::default(),
            arrived: Condvar::new(),
        });
        let writer_shared = Arc::clone(&shared);
        let writer = thread::spawn(move || write_all(&writer_shared, out));
        Self {
            clock,
            shared,
            writer: Mutex::new(Some(writer)),
        }
    }

    /// Notes an event. If too many wait, it is dropped and counted.
    pub fn record(&self, event: DecisionEvent) {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let wall_ms = whole_millis(wall.unwrap_or_default());
        let mut pending = self.shared.lock();
        let capacity = if event.has_priority() {
            PENDING_MAX
        } else {
            PENDING_MAX - RESERVED_FOR_FAILURES
        };
        if pending.lines.len() >= capacity {
            pending.dropped += 1;
            pending.dropped_total += 1;
            return;
        }
        pending.lines.push((wall_ms, event));
        let is_first = pending.lines.len() == 1;
        drop(pending);
        if is_first {
            self.shared.arrived.notify_one();
        }
    }

    /// How many lines were dropped since the start.
    pub fn dropped_total(&self) -> u64 {
        self.shared.lock().dropped_total
    }

    /// Writes what waits and ends the writer.
    pub fn close(&self) {
        self.shared.lock().is_closed = true;
        self.shared.arrived.notify_one();
        let writer = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(writer) = writer
            && writer.join().is_err()
        {
            log::error!("decision log: the writer broke down");
        }
    }
}

fn write_all(shared: &Shared, mut out: Box<dyn Write + Send>) {
    loop {
        let (lines, dropped, is_closed) = take_lines(shared);
        let mut text = Vec::with_capacity(lines.len() * 300);
        for (wall_ms, event) in &lines {
            let line = Line {
                wall_ms: *wall_ms,
                host: &shared.host,
                event,
            };
            append(&mut text, &line);
        }
        if let Some((last_ms, _)) = lines.last()
            && dropped > 0
        {
            let line = DroppedLine {
                wall_ms: *last_ms,
                host: &shared.host,
                event: "lines_dropped",
                lines: dropped,
            };
            append(&mut text, &line);
        }
        let written = out.write_all(&text).and_then(|()| out.flush());
        if let Err(err) = written {
            // Standard output is gone: there is nobody left to read, and nothing else to tell it to.
            log::error!("decision log: cannot write, ends: {err}");
            return;
        }
        if is_closed {
            return;
        }
    }
}

fn take_lines(shared: &Shared) -> (Vec<(u64, DecisionEvent)>, u64, bool) {
    let pending = shared.lock();
    let pending = shared
        .arrived
        .wait_while(pending, |w| w.lines.is_empty() && !w.is_closed)
        .unwrap_or_else(PoisonError::into_inner);
    if !pending.is_closed {
        drop(pending);
        thread::sleep(BATCH_INTERVAL);
    } else {
        drop(pending);
    }
    let mut pending = shared.lock();
    let lines = std::mem::take(&mut pending.lines);
    let dropped = std::mem::take(&mut pending.dropped);
    (lines, dropped, pending.is_closed)
}

fn append(text: &mut Vec<u8>, line: &impl Serialize) {
    let len = text.len();
    match serde_json::to_writer(&mut *text, line) {
        Ok(()) => text.push(b'\n'),
        Err(err) => {
            text.truncate(len);
            log::error!("decision log: a line can't be written as JSON: {err}");
        }
    }
}
