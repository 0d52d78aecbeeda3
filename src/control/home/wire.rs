//! Encoding and decoding of the messages between entry hosts and homes.
//!
//! A deadline is sent as the remaining time, since the clocks of hosts differ.

use std::error::Error;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::control::home::GrantStatus;
use crate::control::home::HomeAnswer;
use crate::control::home::IssuedGrant;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::LiveGrant;
use crate::decide::RefuseReason;
use crate::decide::Work;
use crate::peer::message;
use crate::peer::message::GrantState;
use crate::units::ContentHash;
use crate::units::GrantId;
use crate::units::PoolId;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The error of a message with an invalid field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WireError {
    /// The name of the invalid field.
    pub field: &'static str,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message with invalid field `{}`", self.field)
    }
}

impl Error for WireError {}

fn invalid(field: &'static str) -> WireError {
    WireError { field }
}

fn decode_id(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes = bytes.try_into().map_err(|_| invalid(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn encode_id(id: u128) -> Vec<u8> {
    id.to_be_bytes().to_vec()
}

/// Whole milliseconds, rounded down.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Whole microseconds, rounded down.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn decode_upstreams(names: &[String], field: &'static str) -> Result<Vec<UpstreamId>, WireError> {
    let parse = |name: &String| name.parse().map_err(|_| invalid(field));
    names.iter().map(parse).collect()
}

fn encode_upstreams(upstreams: &[UpstreamId]) -> Vec<String> {
    upstreams.iter().map(ToString::to_string).collect()
}

/// Encodes work, with the time from `now` to its deadline in milliseconds.
pub fn encode_work(work: &Work, now: Instant) -> message::WorkItem {
    let prefix = |(hash, tokens): &(ContentHash, Tokens)| message::PrefixHash {
        hash: encode_id(hash.0),
        tokens: tokens.0,
    };
    message::WorkItem {
        request: encode_id(work.request.0),
        host: work.host.to_string(),
        customer: work.customer.to_string(),
        priority: u32::from(work.priority.0),
        prompt_tokens: work.prompt_tokens.0,
        output_tokens: work.output_tokens.0,
        prefixes: work.prefixes.iter().map(prefix).collect(),
        remaining_ms: millis(work.deadline.saturating_duration_since(now)),
        avoid: encode_upstreams(&work.avoid),
    }
}

/// Decodes work, whose deadline is `now` plus the remaining time in the message.
pub fn decode_work(item: &message::WorkItem, now: Instant) -> Result<Work, WireError> {
    let prefix = |prefix: &message::PrefixHash| {
        let hash = decode_id(&prefix.hash, "prefixes")?;
        Ok((ContentHash(hash), Tokens(prefix.tokens)))
    };
    let remaining = Duration::from_millis(item.remaining_ms);
    Ok(Work {
        request: RequestId(decode_id(&item.request, "request")?),
        host: item.host.parse().map_err(|_| invalid("host"))?,
        customer: item.customer.parse().map_err(|_| invalid("customer"))?,
        priority: Priority(u8::try_from(item.priority).map_err(|_| invalid("priority"))?),
        prompt_tokens: Tokens(item.prompt_tokens),
        output_tokens: Tokens(item.output_tokens),
        prefixes: item.prefixes.iter().map(prefix).collect::<Result<_, _>>()?,
        deadline: now
            .checked_add(remaining)
            .ok_or_else(|| invalid("remaining_ms"))?,
        avoid: decode_upstreams(&item.avoid, "avoid")?,
    })
}

/// Encodes a request for a grant.
pub fn encode_request(pool: &PoolId, work: &Work, now: Instant) -> message::GrantRequest {
    message::GrantRequest {
        pool: pool.to_string(),
        work: Some(encode_work(work, now)),
    }
}

/// Decodes a request for a grant.
pub fn decode_request(
    request: &message::GrantRequest,
    now: Instant,
) -> Result<(PoolId, Work), WireError> {
    let pool = request.pool.parse().map_err(|_| invalid("pool"))?;
    let work = request.work.as_ref().ok_or_else(|| invalid("work"))?;
    Ok((pool, decode_work(work, now)?))
}

/// Encodes the answer of a home.
pub fn encode_answer(pool: &PoolId, answer: &HomeAnswer) -> message::GrantReply {
    let mut reply = message::GrantReply {
        pool: pool.to_string(),
        request: encode_id(answer.request.0),
        ..Default::default()
    };
    match &answer.status {
        GrantStatus::NotHome => reply.set_state(GrantState::NotHome),
        GrantStatus::Queued => reply.set_state(GrantState::Queued),
        GrantStatus::Granted(granted) => {
            reply.set_state(GrantState::Granted);
            reply.grant = encode_id(granted.grant.0);
            reply.upstreams = encode_upstreams(&granted.upstreams);
            reply.waited_ms = millis(granted.waited);
            reply.why.clone_from(&granted.why);
        }
        GrantStatus::Refused {
            reason,
            retry_after,
        } => {
            reply.set_state(GrantState::Refused);
            reply.why = reason.name().to_owned();
            reply.retry_after_ms = millis(*retry_after);
        }
    }
    reply
}

/// Decodes the answer of a home.
pub fn decode_answer(reply: &message::GrantReply) -> Result<(PoolId, HomeAnswer), WireError> {
    let pool = reply.pool.parse().map_err(|_| invalid("pool"))?;
    let state = GrantState::try_from(reply.state).map_err(|_| invalid("state"))?;
    let status = match state {
        GrantState::NotHome => GrantStatus::NotHome,
        GrantState::Queued => GrantStatus::Queued,
        GrantState::Granted => GrantStatus::Granted(IssuedGrant {
            grant: GrantId(decode_id(&reply.grant, "grant")?),
            upstreams: decode_upstreams(&reply.upstreams, "upstreams")?,
            waited: Duration::from_millis(reply.waited_ms),
            why: reply.why.clone(),
        }),
        GrantState::Refused => GrantStatus::Refused {
            reason: RefuseReason::from_name(&reply.why).ok_or_else(|| invalid("why"))?,
            retry_after: Duration::from_millis(reply.retry_after_ms),
        },
    };
    let request = RequestId(decode_id(&reply.request, "request")?);
    Ok((pool, HomeAnswer { request, status }))
}

/// Encodes the withdrawal of a request.
pub fn encode_withdraw(pool: &PoolId, request: RequestId) -> message::Withdraw {
    message::Withdraw {
        pool: pool.to_string(),
        request: encode_id(request.0),
    }
}

/// Decodes the withdrawal of a request.
pub fn decode_withdraw(withdraw: &message::Withdraw) -> Result<(PoolId, RequestId), WireError> {
    let pool = withdraw.pool.parse().map_err(|_| invalid("pool"))?;
    Ok((pool, RequestId(decode_id(&withdraw.request, "request")?)))
}

/// Encodes the report that a grant has ended, with the summary of its attempt.
pub fn encode_finish(pool: &PoolId, grant: GrantId, done: &AttemptSummary) -> message::Finish {
    let report = message::AttemptReport {
        ended: encode_outcome(done.ended),
        first_token_us: done.first_token.map(micros),
        total_us: micros(done.total),
        prompt_tokens: done.prompt_tokens.0,
        cached_tokens: done.cached_tokens.0,
        output_tokens: done.output_tokens.0,
    };
    message::Finish {
        pool: pool.to_string(),
        grant: encode_id(grant.0),
        done: Some(report),
    }
}

/// Decodes the report that a grant has ended, with the summary of its attempt.
pub fn decode_finish(
    finish: &message::Finish,
) -> Result<(PoolId, GrantId, AttemptSummary), WireError> {
    let pool = finish.pool.parse().map_err(|_| invalid("pool"))?;
    let grant = GrantId(decode_id(&finish.grant, "grant")?);
    let report = finish.done.as_ref().ok_or_else(|| invalid("done"))?;
    let done = AttemptSummary {
        ended: decode_outcome(report.ended)?,
        first_token: report.first_token_us.map(Duration::from_micros),
        total: Duration::from_micros(report.total_us),
        prompt_tokens: Tokens(report.prompt_tokens),
        cached_tokens: Tokens(report.cached_tokens),
        output_tokens: Tokens(report.output_tokens),
    };
    Ok((pool, grant, done))
}

fn encode_outcome(outcome: AttemptOutcome) -> u32 {
    match outcome {
        AttemptOutcome::Completed => 0,
        AttemptOutcome::Cancelled => 1,
        AttemptOutcome::NotSent => 2,
        AttemptOutcome::Refused => 3,
        AttemptOutcome::Failed => 4,
    }
}

fn decode_outcome(number: u32) -> Result<AttemptOutcome, WireError> {
    match number {
        0 => Ok(AttemptOutcome::Completed),
        1 => Ok(AttemptOutcome::Cancelled),
        2 => Ok(AttemptOutcome::NotSent),
        3 => Ok(AttemptOutcome::Refused),
        4 => Ok(AttemptOutcome::Failed),
        _ => Err(invalid("ended")),
    }
}

/// Encodes the announcement of a host's live grants of a pool.
pub fn encode_announce(pool: &PoolId, grants: &[LiveGrant], now: Instant) -> message::Announce {
    let grant = |grant: &LiveGrant| message::AnnouncedGrant {
        grant: encode_id(grant.id.0),
        work: Some(encode_work(&grant.work, now)),
        upstreams: encode_upstreams(&grant.upstreams),
    };
    message::Announce {
        pool: pool.to_string(),
        grants: grants.iter().map(grant).collect(),
        is_query: false,
    }
}

/// Decodes the announcement of a host's live grants of a pool.
pub fn decode_announce(
    announce: &message::Announce,
    now: Instant,
) -> Result<(PoolId, Vec<LiveGrant>), WireError> {
    let grant = |grant: &message::AnnouncedGrant| {
        let work = grant.work.as_ref().ok_or_else(|| invalid("work"))?;
        Ok(LiveGrant {
            id: GrantId(decode_id(&grant.grant, "grant")?),
            work: decode_work(work, now)?,
            upstreams: decode_upstreams(&grant.upstreams, "upstreams")?,
        })
    };
    let pool = announce.pool.parse().map_err(|_| invalid("pool"))?;
    let grants = announce.grants.iter().map(grant);
    Ok((pool, grants.collect::<Result<_, _>>()?))
}
