//! Parsing of a request body by an engine.

use banyanarch::units::ContentHash;
use serde::Deserialize;
use serde_json::Value;

use crate::engine::cache::Segment;

/// Prefix lengths in bytes at which prompts are hashed, as docs/PROTOCOLS.md gives them.
const PREFIX_LENS_BYTES: [usize; 4] = [4_096, 16_384, 65_536, 262_144];
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a request body that an engine uses.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) text: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct RequestBody {
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: Value,
}

impl Prompt {
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let body_fields: RequestBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let text = match body_fields.prompt {
            Value::Null => body_fields
                .messages
                .iter()
                .map(|m| content_text(&m.content))
                .collect(),
            prompt => content_text(&prompt),
        };
        if text.is_empty() {
            return Err("neither prompt nor messages".to_owned());
        }
        Ok(Self {
            text,
            max_tokens: body_fields.max_completion_tokens.or(body_fields.max_tokens),
            stream: body_fields.stream,
        })
    }

    pub(crate) fn len_tokens(&self) -> u64 {
        (self.text.len() as u64).div_ceil(BYTES_PER_TOKEN)
    }

    /// Returns the segments of the prompt that the prefix cache can hold.
    pub(crate) fn segments(&self) -> Vec<Segment> {
        let mut segments: Vec<Segment> = Vec::new();
        let bytes = self.text.as_bytes();
        for len in PREFIX_LENS_BYTES {
            let Some(prefix) = bytes.get(..len) else {
                break;
            };
            let end_tokens = len as u64 / BYTES_PER_TOKEN;
            let parent = segments.last();
            segments.push(Segment {
                prefix: ContentHash::of(prefix),
                parent: parent.map(|segment| segment.prefix),
                tokens: end_tokens - parent.map_or(0, |segment| segment.end_tokens),
                end_tokens,
            });
        }
        segments
    }
}

/// Returns the text of a prompt or message: a string, or a list of strings or of parts with a
/// `text` field.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(content_text).collect(),
        part => part["text"].as_str().unwrap_or("").to_owned(),
    }
}
