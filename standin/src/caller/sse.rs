//! Parsing of a streamed answer.

use serde_json::Value;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// Text of the answer.
    Text(String),
    /// The stream failed; holds the error object.
    Failed(Value),
    /// The end mark of the stream.
    Done,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buf: Vec<u8>,
}

impl EventReader {
    /// Adds bytes and returns the events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend_from_slice(bytes);
        let Some(last) = self.buf.iter().rposition(|b| *b == b'\n') else {
            return Vec::new();
        };
        let rest = self.buf.split_off(last + 1);
        let lines = std::mem::replace(&mut self.buf, rest);
        let text = String::from_utf8_lossy(&lines);
        text.lines().filter_map(parse_event).collect()
    }
}

fn parse_event(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data:")?.trim();
    if data == "[DONE]" {
        return Some(Event::Done);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    if !value["error"].is_null() {
        return Some(Event::Failed(value["error"].clone()));
    }
    let choice = &value["choices"][0];
    let text = choice["text"]
        .as_str()
        .or(choice["delta"]["content"].as_str());
    text.filter(|text| !text.is_empty())
        .map(|text| Event::Text(text.to_owned()))
}
