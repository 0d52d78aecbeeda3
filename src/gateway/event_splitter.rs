//! Splits a stream into complete events without changing a byte.
//!
//! An upstream can break off in the middle of an event. If the first half had been forwarded, the
//! upstream that resumes the stream would send the whole event again, and the caller would receive
//! its first half twice. Only complete events are therefore forwarded, and the id of the last one
//! is recorded.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum length of an incomplete event, in bytes. Events of models have a few kilobytes.
const EVENT_LEN_MAX: usize = 256 << 10;

/// What the bytes of a stream have completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SplitStep {
    /// These events.
    Events(Bytes),
    /// Nothing yet.
    Incomplete,
    /// Nothing, and the event is longer than any event may be.
    TooLong,
}

/// Splits the bytes of a stream into complete events, and buffers the incomplete one at the end.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The bytes received and not forwarded yet.
    pending: BytesMut,
    /// The number of these bytes that were searched for the end of an event.
    scanned: usize,
    /// The id of the last complete event that had one.
    last_id: Option<String>,
    /// The number of complete events.
    events: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the complete events available now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> SplitStep {
        self.pending.extend_from_slice(bytes);
        let Some(end) = self.last_event_end() else {
            return if self.pending.len() > EVENT_LEN_MAX {
                SplitStep::TooLong
            } else {
                SplitStep::Incomplete
            };
        };
        let events = self.pending.split_to(end).freeze();
        self.scanned = 0;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        SplitStep::Events(events)
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards an incomplete event, the rest of which will not arrive.
    pub fn discard_partial_event(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// The id of the last event with an id that [`Self::push`] has returned; none if there was
    /// none.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of events that [`Self::push`] has returned.
    pub fn event_count(&self) -> usize {
        self.events
    }

    /// The end of the last complete event in the buffer; none if there is no complete event. An empty
    /// line ends an event, and lines end with LF or CR LF. Counts the complete events.
    fn last_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let tail = &self.pending[from..];
        let mut end = None;
        for (index, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &tail[index + 1..];
            if rest.first() == Some(&b'\n') {
                end = Some(from + index + 2);
                self.events += 1;
            } else if rest.starts_with(b"\r\n") {
                end = Some(from + index + 3);
                self.events += 1;
            }
        }
        self.scanned = self.pending.len();
        end
    }
}

/// The id of the last event that has an id.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(b"id:")?;
        let value = value.strip_prefix(b" ").unwrap_or(value);
        std::str::from_utf8(value).ok()
    });
    ids.next().map(str::to_owned)
}
