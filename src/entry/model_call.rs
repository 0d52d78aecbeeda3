//! Parses the fields of a completion or chat call that scheduling needs.

use std::borrow::Cow;

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::units::ContentHash;
use crate::units::TargetId;
use crate::units::Tokens;

/// The lengths of the prompt prefixes that are hashed. A prompt has no prefix of a length that
/// exceeds its own. Four lengths suffice to distinguish a shared instruction, a shared case file
/// and a shared archive.
const PREFIX_LENS_BYTES: [usize; 4] = [4_096, 16_384, 65_536, 262_144];

/// The average size of a token in the languages of the models in use. The resulting counts are
/// first estimates, which homes correct by the counts that engines report.
const BYTES_PER_TOKEN: u64 = 4;

/// The API of a model call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The completions API at `/v1/completions`.
    Completion,
    /// The chat API at `/v1/chat/completions`.
    Chat,
}

/// The fields of a model call that scheduling needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// The API of the call.
    pub kind: CallKind,
    /// The model, optionally with an adapter.
    pub target: TargetId,
    /// Whether the caller wants the reply as a stream.
    pub stream: bool,
    /// The limit on output tokens, if the caller set one.
    pub output_tokens: Option<Tokens>,
    /// The estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Hashes of the prompt's prefixes with their estimated lengths, shortest first.
    pub prefixes: Vec<(ContentHash, Tokens)>,
}

#[derive(Deserialize)]
struct CallBody<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    prompt: Option<Prompt<'a>>,
    #[serde(borrow, default)]
    messages: Vec<ChatMessage<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt<'a> {
    #[serde(borrow)]
    One(Cow<'a, str>),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow)]
    content: Option<ChatContent<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ChatContent<'a> {
    #[serde(borrow)]
    Text(Cow<'a, str>),
    Parts(Vec<ChatPart>),
}

#[derive(Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

impl ModelCall {
    /// Parses a body. The error text says what is wrong with the body.
    pub fn read(kind: CallKind, body: &[u8]) -> Result<Self, String> {
        let call: CallBody<'_> = serde_json::from_slice(body).map_err(|err| err.to_string())?;
        let target = call.model.parse().map_err(|err| format!("model: {err}"))?;
        let pieces = match kind {
            CallKind::Completion => prompt_pieces(call.prompt),
            CallKind::Chat => chat_pieces(call.messages),
        };
        if pieces.is_empty() {
            let field = if kind == CallKind::Chat {
                "messages"
            } else {
                "prompt"
            };
            return Err(format!("{field}: missing or empty"));
        }
        let len_bytes: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        Ok(Self {
            kind,
            target,
            stream: call.stream,
            output_tokens: call.max_completion_tokens.or(call.max_tokens).map(Tokens),
            prompt_tokens: Tokens((len_bytes / BYTES_PER_TOKEN).max(1)),
            prefixes: hash_prefixes(&pieces),
        })
    }
}

fn prompt_pieces(prompt: Option<Prompt<'_>>) -> Vec<Cow<'_, str>> {
    match prompt {
        Some(Prompt::One(text)) => vec![text],
        Some(Prompt::Many(texts)) => texts.into_iter().map(Cow::Owned).collect(),
        None => Vec::new(),
    }
}

/// The texts of the messages in order, without their roles. A part without text gives an empty
/// piece, and a message without content gives none.
fn chat_pieces(messages: Vec<ChatMessage<'_>>) -> Vec<Cow<'_, str>> {
    let mut pieces = Vec::new();
    for message in messages {
        match message.content {
            Some(ChatContent::Text(text)) => pieces.push(text),
            Some(ChatContent::Parts(parts)) => {
                pieces.extend(parts.into_iter().map(|part| Cow::Owned(part.text)));
            }
            None => {}
        }
    }
    pieces
}

/// Hashes the prompt's prefixes of the lengths [`PREFIX_LENS_BYTES`]. Each prefix is paired with
/// its estimated length in tokens.
fn hash_prefixes(pieces: &[Cow<'_, str>]) -> Vec<(ContentHash, Tokens)> {
    let mut hasher = Xxh3::new();
    let mut hashed_len = 0;
    let mut prefixes = Vec::new();
    let mut boundaries = PREFIX_LENS_BYTES.into_iter().peekable();
    for piece in pieces {
        let mut rest = piece.as_bytes();
        while let Some(boundary) = boundaries.peek().copied() {
            let missing = boundary - hashed_len;
            if rest.len() < missing {
                break;
            }
            let (head, tail) = rest.split_at(missing);
            hasher.update(head);
            hashed_len = boundary;
            rest = tail;
            boundaries.next();
            let tokens = Tokens(boundary as u64 / BYTES_PER_TOKEN);
            prefixes.push((ContentHash(hasher.digest128()), tokens));
        }
        if boundaries.peek().is_none() {
            break;
        }
        hasher.update(rest);
        hashed_len += rest.len();
    }
    prefixes
}
