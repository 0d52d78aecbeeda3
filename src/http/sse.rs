//! A parser of server-sent events.

use bytes::BytesMut;

/// Length limit of an event, in bytes. A longer event is not part of the response of a model.
const EVENT_LEN_MAX: usize = 1 << 20;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The id; empty if the event has none.
    pub id: String,
    /// The data, with lines separated by line feeds.
    pub data: String,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct SseParser {
    pending: BytesMut,
    id: String,
    data: String,
}

impl SseParser {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() + self.data.len() > EVENT_LEN_MAX + bytes.len() {
            return Err("an event is too long".to_owned());
        }
        Ok(())
    }

    /// Returns the next complete event, if there is one.
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
