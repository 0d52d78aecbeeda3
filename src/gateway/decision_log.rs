//! The decision log, which is written without blocking requests.

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

/// The capacity of the buffer in lines, about 300 bytes each. Holds one second of output of a host
/// under its heaviest load.
const PENDING_MAX: usize = 2_048;
/// The part of the capacity that is reserved for lines of failures.
const RESERVED_FOR_FAILURES: usize = 512;
/// How long lines are collected before they are written together. Each write, and each wake-up of
/// the writer, costs processor time.
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

/// The decision log of one host.
pub struct DecisionLog {
    clock: Arc<dyn Clock>,
    shared: Arc<Shared>,
    writer: Mutex<Option<thread::JoinHandle<()>>>,
}

impl DecisionLog {
    /// Creates a log with a thread of its own that writes the lines to `out`.
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

    /// Records an event. If the buffer is full, the event is dropped and counted.
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

    /// The number of lines dropped since the start.
    pub fn dropped_total(&self) -> u64 {
        self.shared.lock().dropped_total
    }

    /// Writes all buffered lines and ends the writer thread.
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
            log::error!("decision log: the writer thread panicked");
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
            // The output is closed, so this error goes to the process log, and the writer ends.
            log::error!("decision log: cannot write, the writer stops: {err}");
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
            log::error!("decision log: cannot serialize a line as JSON: {err}");
        }
    }
}
