//! Constructors that fill in the fields that a test does not care about.

use std::time::Duration;
use std::time::Instant;

use banyanarch::control::claims::Claim;
use banyanarch::control::claims::ClaimKey;
use banyanarch::control::claims::ClaimState;
use banyanarch::decide::AttemptOutcome;
use banyanarch::decide::AttemptSummary;
use banyanarch::decide::UpstreamHealth;
use banyanarch::decide::UpstreamInfo;
use banyanarch::decide::Work;
use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::HostId;
use banyanarch::units::Priority;
use banyanarch::units::RequestId;
use banyanarch::units::Tokens;
use banyanarch::units::UpstreamId;

pub(crate) fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

pub(crate) fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

pub(crate) fn work(request: u128, from: &HostId, tokens: u64, now: Instant) -> Work {
    Work {
        request: RequestId(request),
        host: from.clone(),
        customer: "studio".parse().unwrap(),
        priority: Priority(0),
        prompt_tokens: Tokens(tokens),
        output_tokens: Tokens::ZERO,
        prefixes: Vec::new(),
        deadline: now + Duration::from_secs(60),
        avoid: Vec::new(),
    }
}

pub(crate) fn engine(name: &str, memory_tokens: u64, health: UpstreamHealth) -> UpstreamInfo {
    UpstreamInfo {
        id: upstream(name),
        memory_tokens: Tokens(memory_tokens),
        slots: 64,
        health,
    }
}

pub(crate) fn attempt_summary(ended: AttemptOutcome) -> AttemptSummary {
    AttemptSummary {
        ended,
        first_token: None,
        total: Duration::from_millis(1),
        prompt_tokens: Tokens::ZERO,
        cached_tokens: Tokens::ZERO,
        output_tokens: Tokens::ZERO,
    }
}

pub(crate) fn claim_key(key: &str) -> ClaimKey {
    ClaimKey::new(&"studio".parse().unwrap(), &key.parse().unwrap())
}

pub(crate) fn claim(attempt: u128, holder: &HostId, content: u128) -> Claim {
    Claim {
        attempt: AttemptId(attempt),
        holder: holder.clone(),
        upstream: upstream("accounts-1"),
        content: ContentHash(content),
        state: ClaimState::Held,
    }
}
