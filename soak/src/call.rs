//! The kinds of calls, and what the right answers to them are.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::routing::CallKind;
use banyanarch::units::Tokens;
use banyanarch_platform::stand_in::ManifestConf;
use banyanarch_platform::stand_in::RouteConf;
use xxhash_rust::xxh3::xxh3_64;

/// The host name that callers use.
pub const HOSTNAME: &str = "soak.example";
/// The services that the moving route goes to by turns.
pub const MOVING: [&str; 2] = ["app-a", "app-b"];
/// The service of engines.
pub const ENGINES: &str = "model";

/// A kind of call, each on a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run again.
    Safe,
    /// May run once.
    Once,
    /// May run again; its route moves between services.
    Moving,
    /// A short prompt.
    Short,
    /// A prompt that several engines read.
    Long,
}

impl Kind {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Safe,
        Self::Once,
        Self::Moving,
        Self::Short,
        Self::Long,
    ];

    /// The name of its route.
    pub fn route(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Moving => "moving",
            Self::Short => "short",
            Self::Long => "long",
        }
    }

    /// Whether it is answered by events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Short | Self::Long)
    }

    /// Tokens of the prompt and at most of the answer.
    pub fn tokens(self) -> Option<(u64, u64)> {
        match self {
            Self::Short => Some((3_000, 600)),
            Self::Long => Some((130_000, 600)),
            _ => None,
        }
    }

    /// When it must have its final answer.
    pub fn timeout(self) -> Duration {
        match self {
            Self::Safe | Self::Once | Self::Moving => Duration::from_secs(3),
            Self::Short => Duration::from_secs(6),
            Self::Long => Duration::from_secs(8),
        }
    }

    /// How many upstreams may run it.
    pub fn runs_max(self) -> u32 {
        // Also those that may run once only may be offered twice, as long as the first did not run them.
        2
    }

    fn call_kind(self) -> CallKind {
        match self {
            Self::Safe | Self::Moving => CallKind::Idempotent,
            Self::Once => CallKind::AtMostOnce,
            Self::Short | Self::Long => CallKind::Stream { is_resumable: true },
        }
    }
}

fn model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory_tokens: Tokens(450_000),
        stride: 46,
        step_ms: 0.925,
        step_per_sequence_ms: 0.00483,
        step_per_kilotoken_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        prefill_per_megapair_ms: 0.0917,
    }
}

/// The manifest of this version.
pub fn manifest(
    version: u64,
    moving_to: &str,
    customers: &[(String, Vec<String>)],
) -> ManifestConf {
    let route = |kind: Kind| RouteConf {
        name: kind.route().to_owned(),
        hostname: HOSTNAME.to_owned(),
        kind: kind.call_kind(),
        timeout: kind.timeout(),
        objective: Duration::from_millis(if kind == Kind::Long { 3_000 } else { 400 }),
        service: match kind {
            Kind::Safe | Kind::Once => MOVING[0].to_owned(),
            Kind::Moving => moving_to.to_owned(),
            Kind::Short | Kind::Long => ENGINES.to_owned(),
        },
        runs_max: kind.runs_max(),
    };
    ManifestConf {
        version,
        routes: Kind::ALL.map(route).to_vec(),
        services: vec![
            (MOVING[0].to_owned(), None),
            (MOVING[1].to_owned(), None),
            (ENGINES.to_owned(), Some(model())),
        ],
        customers: customers.to_vec(),
    }
}

/// The body of a request.
pub fn question(request: &str) -> String {
    format!("question of {request}")
}

/// The whole answer of a plain service.
pub fn whole_answer(request: &str, upstream: &str) -> String {
    format!("answer to {request} by {upstream}")
}

/// How many events answer a prompt; the same whichever engine writes them.
pub fn event_count(request: &str) -> u32 {
    4 + u32::try_from(xxh3_64(request.as_bytes()) % 12).unwrap_or(0)
}

/// The content of one event.
pub fn event(request: &str, id: u32) -> String {
    format!("{:016x}", xxh3_64(format!("{request} {id}").as_bytes()))
}
