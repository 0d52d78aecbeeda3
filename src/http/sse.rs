//! A parser of server-sent events.

use bytes::BytesMut;

/// Length limit of an event, in bytes. No event in the response of a model is that long.
const EVENT_LEN_MAX: usize = 1 << 20;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The id; empty if the event has none.
    pub id: String,
    /// The data, with lines separated by line feeds.
    pub data: String,
}

/// Parses a stream of bytes into events. Fields other than `id` and `data` are ignored.
#[derive(Debug, Default)]
pub struct SseParser {
    /// Received bytes that are not parsed yet.
    pending: BytesMut,
    /// The id of the event that is being parsed.
    id: String,
    /// The data of the event that is being parsed.
    data: String,
}

impl SseParser {
    /// Adds received bytes to the buffer; [`Self::next_event`] parses them. Fails if the bytes that
    /// were buffered before, which include events not taken yet, exceed the length limit together
    /// with the data of the event that is being parsed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() + self.data.len() > EVENT_LEN_MAX + bytes.len() {
            return Err("an event is too long".to_owned());
        }
        Ok(())
    }

    /// Removes and returns the next complete event that has data; `None` if more bytes are needed.
    /// Fails if a line is not valid UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, String> {
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line = self.pending.split_to(end + 1);
            let line = line.strip_suffix(b"\n").unwrap_or(&line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line).map_err(|err| err.to_string())?;
            if !line.is_empty() {
                self.process_field(line);
            } else if !self.data.is_empty() {
                let id = std::mem::take(&mut self.id);
                let data = std::mem::take(&mut self.data);
                return Ok(Some(SseEvent { id, data }));
            }
        }
        Ok(None)
    }

    /// Adds the field of one line to the event that is being parsed. An `id` replaces the earlier
    /// one, and a further `data` is joined to the earlier data with a line feed. Other fields are
    /// ignored.
    fn process_field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => value.clone_into(&mut self.id),
            "data" if self.data.is_empty() => value.clone_into(&mut self.data),
            "data" => {
                self.data.push('\n');
                self.data.push_str(value);
            }
            _ => {}
        }
    }
}
