//! JSON events of a model's response.

use serde::Deserialize;

use crate::units::AttemptId;
use crate::upstream::ResponseEvent;
use crate::upstream::UpstreamError;

/// What one server-sent event of a model's response contains. An error that the engine reports is
/// not a value of this type; parsing its event fails.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ModelEvent {
    /// Generated tokens.
    Tokens(ResponseEvent),
    /// The model has stopped; the end marker of the stream is still to come.
    Stopped {
        /// The tokens of the last event. There may be none; the offset still shows whether tokens
        /// are missing before it.
        tokens: ResponseEvent,
        /// The end event, to be forwarded once the end marker has arrived.
        end: ResponseEvent,
    },
    /// The end marker.
    Done,
}

/// The JSON body of an event.
#[derive(Deserialize)]
struct EventBody {
    #[serde(default)]
    id: String,
    #[serde(default)]
    choices: Vec<ChoiceBody>,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    count: u64,
    usage: Option<UsageBody>,
    error: Option<serde_json::Value>,
}

/// The generated text of an event, and why the model stopped if it did.
#[derive(Deserialize)]
struct ChoiceBody {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// The token counts of a request as counted by the engine.
#[derive(Deserialize)]
struct UsageBody {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

impl ModelEvent {
    /// Parses the data of one server-sent event. Fails with [`UpstreamError::Failed`] if the engine
    /// reports an error.
    pub(crate) fn parse(data: &str) -> Result<Self, UpstreamError> {
        if data == "[DONE]" {
            return Ok(Self::Done);
        }
        let invalid = |why: String| UpstreamError::InvalidResponse(why);
        let body: EventBody = serde_json::from_str(data).map_err(|err| invalid(err.to_string()))?;
        if let Some(error) = body.error {
            return Err(UpstreamError::Failed(error.to_string()));
        }
        let attempt: AttemptId = body
            .id
            .parse()
            .map_err(|err| invalid(format!("id: {err}")))?;
        let choice = body.choices.into_iter().next();
        let choice = choice.ok_or_else(|| invalid("an event without choices".to_owned()))?;
        let tokens = ResponseEvent::Tokens {
            attempt,
            offset_tokens: body.offset,
            count: body.count,
            text: choice.text,
        };
        let Some(finish_reason) = choice.finish_reason else {
            return Ok(Self::Tokens(tokens));
        };
        let usage = body.usage.unwrap_or(UsageBody {
            prompt_tokens: 0,
            cached_tokens: 0,
        });
        let end = ResponseEvent::End {
            attempt: Some(attempt),
            finish_reason,
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
        };
        Ok(Self::Stopped { tokens, end })
    }
}
