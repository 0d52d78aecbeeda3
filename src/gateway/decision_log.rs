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

/// The capacity of the buffer in events, about 300 bytes each as lines. Holds one second of output
/// of a host under its heaviest load.
const BUFFERED_EVENTS_MAX: usize = 2_048;
/// The part of the capacity that is reserved for events of failures and of the host itself.
const RESERVED_FOR_FAILURES: usize = 512;
/// How long events are collected before they are written together. Each write, and each wake-up of
/// the writer, costs processor time.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// One line of the log.
#[derive(Serialize)]
struct EventLine<'a> {
    wall_ms: u64,
    host: &'a HostId,
    #[serde(flatten)]
    event: &'a DecisionEvent,
}

/// The line that states how many events were dropped since the last write.
#[derive(Serialize)]
struct DroppedEventsLine<'a> {
    wall_ms: u64,
    host: &'a HostId,
    event: &'static str,
    lines: u64,
}

/// The events that are not written yet.
#[derive(Default)]
struct EventBuffer {
    /// The events with the time of each, in ms since the Unix epoch.
    events: Vec<(u64, DecisionEvent)>,
    /// The number of events dropped since the last write.
    dropped: u64,
    /// The number of events dropped since the start.
    dropped_total: u64,
    /// Whether the writer has to end after its next write.
    is_closed: bool,
}

/// The buffer between the requests of the host and the writer thread.
struct SharedBuffer {
    host: HostId,
    buffer: Mutex<EventBuffer>,
    /// Notified when the buffer has its first event or is closed.
    arrived: Condvar,
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, EventBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The decision log of one host: a bounded buffer of events and a thread that writes them as lines
/// of JSON. Recording an event never waits for the output.
pub struct DecisionLog {
    clock: Arc<dyn Clock>,
    shared: Arc<SharedBuffer>,
    writer: Mutex<Option<thread::JoinHandle<()>>>,
}

impl DecisionLog {
    /// Creates a log whose thread writes the lines to `out`.
    pub fn new(host: HostId, clock: Arc<dyn Clock>, out: Box<dyn Write + Send>) -> Self {
        let shared = Arc::new(SharedBuffer {
            host,
            buffer: Mutex::default(),
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
        let mut buffer = self.shared.lock();
        let capacity = if event.has_priority() {
            BUFFERED_EVENTS_MAX
        } else {
            BUFFERED_EVENTS_MAX - RESERVED_FOR_FAILURES
        };
        if buffer.events.len() >= capacity {
            buffer.dropped += 1;
            buffer.dropped_total += 1;
            return;
        }
        buffer.events.push((wall_ms, event));
        let is_first = buffer.events.len() == 1;
        drop(buffer);
        if is_first {
            self.shared.arrived.notify_one();
        }
    }

    /// The number of events dropped since the start.
    pub fn dropped_total(&self) -> u64 {
        self.shared.lock().dropped_total
    }

    /// Writes all buffered events and waits until the writer thread has ended. Later events are not
    /// written.
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

/// Writes events until the log is closed or the output fails.
fn write_all(shared: &SharedBuffer, mut out: Box<dyn Write + Send>) {
    loop {
        let (events, dropped, is_closed) = take_events(shared);
        let mut text = Vec::with_capacity(events.len() * 300);
        for (wall_ms, event) in &events {
            let line = EventLine {
                wall_ms: *wall_ms,
                host: &shared.host,
                event,
            };
            append(&mut text, &line);
        }
        if let Some((last_ms, _)) = events.last()
            && dropped > 0
        {
            let line = DroppedEventsLine {
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

/// Waits for events or the end of the log, lets further events collect unless the log has ended,
/// and takes all. Returns the events with their times, the number of dropped ones, and whether the
/// log has ended.
fn take_events(shared: &SharedBuffer) -> (Vec<(u64, DecisionEvent)>, u64, bool) {
    let buffer = shared.lock();
    let buffer = shared
        .arrived
        .wait_while(buffer, |buffer| {
            buffer.events.is_empty() && !buffer.is_closed
        })
        .unwrap_or_else(PoisonError::into_inner);
    if !buffer.is_closed {
        drop(buffer);
        thread::sleep(BATCH_INTERVAL);
    } else {
        drop(buffer);
    }
    let mut buffer = shared.lock();
    let events = std::mem::take(&mut buffer.events);
    let dropped = std::mem::take(&mut buffer.dropped);
    (events, dropped, buffer.is_closed)
}

/// Appends a line of JSON to `text`. A line that cannot be serialized is left out.
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
