//! The messages between entry hosts and homes, and what they stand for.
//!
//! Deadlines travel as the time that remains, since hosts' clocks differ.

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

/// A message with a field that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WireError {
    /// The field.
    pub field: &'static str,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message with a bad field `{}`", self.field)
    }
}

impl Error for WireError {}

fn bad(field: &'static str) -> WireError {
    WireError { field }
}

fn id_from(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes = bytes.try_into().map_err(|_| bad(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn id_to(id: u128) -> Vec<u8> {
    id.to_be_bytes().to_vec()
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn upstreams_from(names: &[String], field: &'static str) -> Result<Vec<UpstreamId>, WireError> {
    let parse = |name: &String| name.parse().map_err(|_| bad(field));
    names.iter().map(parse).collect()
}

fn upstreams_to(upstreams: &[UpstreamId]) -> Vec<String> {
    upstreams.iter().map(ToString::to_string).collect()
}

/// Work as a message.
pub fn encode_work(work: &Work, now: Instant) -> message::WorkItem {
    let prefix = |(hash, tokens): &(ContentHash, Tokens)| message::PrefixHash {
        hash: id_to(hash.0),
        tokens: tokens.0,
    };
    message::WorkItem {
        request: id_to(work.request.0),
        host: work.host.to_string(),
        customer: work.customer.to_string(),
        priority: u32::from(work.priority.0),
        prompt_tokens: work.prompt_tokens.0,
        output_tokens: work.output_tokens.0,
        prefixes: work.prefixes.iter().map(prefix).collect(),
        remaining_ms: ms(work.deadline.saturating_duration_since(now)),
        avoid: upstreams_to(&work.avoid),
    }
}

/// Work out of a message.
pub fn decode_work(item: &message::WorkItem, now: Instant) -> Result<Work, WireError> {
    let prefix = |prefix: &message::PrefixHash| {
        let hash = id_from(&prefix.hash, "prefixes")?;
        Ok((ContentHash(hash), Tokens(prefix.tokens)))
    };
    let remaining = Duration::from_millis(item.remaining_ms);
    Ok(Work {
        request: RequestId(id_from(&item.request, "request")?),
        host: item.host.parse().map_err(|_| bad("host"))?,
        customer: item.customer.parse().map_err(|_| bad("customer"))?,
        priority: Priority(u8::try_from(item.priority).map_err(|_| bad("priority"))?),
        prompt_tokens: Tokens(item.prompt_tokens),
        output_tokens: Tokens(item.output_tokens),
        prefixes: item.prefixes.iter().map(prefix).collect::<Result<_, _>>()?,
        deadline: now
            .checked_add(remaining)
            .ok_or_else(|| bad("remaining_ms"))?,
        avoid: upstreams_from(&item.avoid, "avoid")?,
    })
}

/// A request for a grant as a message.
pub fn encode_request(pool: &PoolId, work: &Work, now: Instant) -> message::GrantRequest {
    message::GrantRequest {
        pool: pool.to_string(),
        work: Some(encode_work(work, now)),
    }
}

/// A request for a grant out of a message.
pub fn decode_request(
    request: &message::GrantRequest,
    now: Instant,
) -> Result<(PoolId, Work), WireError> {
    let pool = request.pool.parse().map_err(|_| bad("pool"))?;
    let work = request.work.as_ref().ok_or_else(|| bad("work"))?;
    Ok((pool, decode_work(work, now)?))
}

/// A home's answer as a message.
pub fn encode_answer(pool: &PoolId, answer: &HomeAnswer) -> message::GrantReply {
    let mut reply = message::GrantReply {
        pool: pool.to_string(),
        request: id_to(answer.request.0),
        ..Default::default()
    };
    match &answer.status {
        GrantStatus::NotHome => reply.set_state(GrantState::NotHome),
        GrantStatus::Queued => reply.set_state(GrantState::Queued),
        GrantStatus::Granted(granted) => {
            reply.set_state(GrantState::Granted);
            reply.grant = id_to(granted.grant.0);
            reply.upstreams = upstreams_to(&granted.upstreams);
            reply.waited_ms = ms(granted.waited);
            reply.why.clone_from(&granted.why);
        }
        GrantStatus::Refused {
            reason,
            retry_after,
        } => {
            reply.set_state(GrantState::Refused);
            reply.why = reason.name().to_owned();
            reply.retry_after_ms = ms(*retry_after);
        }
    }
    reply
}

/// A home's answer out of a message.
pub fn decode_answer(reply: &message::GrantReply) -> Result<(PoolId, HomeAnswer), WireError> {
    let pool = reply.pool.parse().map_err(|_| bad("pool"))?;
    let state = GrantState::try_from(reply.state).map_err(|_| bad("state"))?;
    let status = match state {
        GrantState::NotHome => GrantStatus::NotHome,
        GrantState::Queued => GrantStatus::Queued,
        GrantState::Granted => GrantStatus::Granted(IssuedGrant {
            grant: GrantId(id_from(&reply.grant, "grant")?),
            upstreams: upstreams_from(&reply.upstreams, "upstreams")?,
            waited: Duration::from_millis(reply.waited_ms),
            why: reply.why.clone(),
        }),
        GrantState::Refused => GrantStatus::Refused {
            reason: RefuseReason::from_name(&reply.why).ok_or_else(|| bad("why"))?,
            retry_after: Duration::from_millis(reply.retry_after_ms),
        },
    };
    let request = RequestId(id_from(&reply.request, "request")?);
    Ok((pool, HomeAnswer { request, status }))
}

/// A withdrawal as a message.
pub fn encode_withdraw(pool: &PoolId, request: RequestId) -> message::Withdraw {
    message::Withdraw {
        pool: pool.to_string(),
        request: id_to(request.0),
    }
}

/// A withdrawal out of a message.
pub fn decode_withdraw(withdraw: &message::Withdraw) -> Result<(PoolId, RequestId), WireError> {
    let pool = withdraw.pool.parse().map_err(|_| bad("pool"))?;
    Ok((pool, RequestId(id_from(&withdraw.request, "request")?)))
}

/// The end of a grant as a message.
pub fn encode_finish(pool: &PoolId, grant: GrantId, done: &AttemptSummary) -> message::Finish {
    let report = message::DoneReport {
        ended: ended_to(done.ended),
        first_token_us: done.first_token.map(us),
        total_us: us(done.total),
        prompt_tokens: done.prompt_tokens.0,
        cached_tokens: done.cached_tokens.0,
        output_tokens: done.output_tokens.0,
    };
    message::Finish {
        pool: pool.to_string(),
        grant: id_to(grant.0),
        done: Some(report),
    }
}

/// The end of a grant out of a message.
pub fn decode_finish(
    finish: &message::Finish,
) -> Result<(PoolId, GrantId, AttemptSummary), WireError> {
    let pool = finish.pool.parse().map_err(|_| bad("pool"))?;
    let grant = GrantId(id_from(&finish.grant, "grant")?);
    let report = finish.done.as_ref().ok_or_else(|| bad("done"))?;
    let done = AttemptSummary {
        ended: ended_from(report.ended)?,
        first_token: report.first_token_us.map(Duration::from_micros),
        total: Duration::from_micros(report.total_us),
        prompt_tokens: Tokens(report.prompt_tokens),
        cached_tokens: Tokens(report.cached_tokens),
        output_tokens: Tokens(report.output_tokens),
    };
    Ok((pool, grant, done))
}

fn ended_to(ended: AttemptOutcome) -> u32 {
    match ended {
        AttemptOutcome::Completed => 0,
        AttemptOutcome::Cancelled => 1,
        AttemptOutcome::NotSent => 2,
        AttemptOutcome::Refused => 3,
        AttemptOutcome::Failed => 4,
    }
}

fn ended_from(number: u32) -> Result<AttemptOutcome, WireError> {
    match number {
        0 => Ok(AttemptOutcome::Completed),
        1 => Ok(AttemptOutcome::Cancelled),
        2 => Ok(AttemptOutcome::NotSent),
        3 => Ok(AttemptOutcome::Refused),
        4 => Ok(AttemptOutcome::Failed),
        _ => Err(bad("ended")),
    }
}

/// A host's live grants of a pool as a message.
pub fn encode_announce(pool: &PoolId, grants: &[LiveGrant], now: Instant) -> message::Announce {
    let grant = |grant: &LiveGrant| message::WorkWithGrant {
        grant: id_to(grant.id.0),
        work: Some(encode_work(&grant.work, now)),
        upstreams: upstreams_to(&grant.upstreams),
    };
    message::Announce {
        pool: pool.to_string(),
        grants: grants.iter().map(grant).collect(),
        is_question: false,
    }
}

/// A host's live grants of a pool out of a message.
pub fn decode_announce(
    announce: &message::Announce,
    now: Instant,
) -> Result<(PoolId, Vec<LiveGrant>), WireError> {
    let grant = |grant: &message::WorkWithGrant| {
        let work = grant.work.as_ref().ok_or_else(|| bad("work"))?;
        Ok(LiveGrant {
            id: GrantId(id_from(&grant.grant, "grant")?),
            work: decode_work(work, now)?,
            upstreams: upstreams_from(&grant.upstreams, "upstreams")?,
        })
    };
    let pool = announce.pool.parse().map_err(|_| bad("pool"))?;
    let grants = announce.grants.iter().map(grant);
    Ok((pool, grants.collect::<Result<_, _>>()?))
}
