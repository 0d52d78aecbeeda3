//! The classes of calls, the manifest with their routes, and the expected requests and responses.

use std::time::Duration;

use banyanarch::decide::EngineModel;
use banyanarch::routing::CallKind;
use banyanarch::units::Tokens;
use banyanarch_platform::stand_in::ManifestConf;
use banyanarch_platform::stand_in::RouteConf;
use xxhash_rust::xxh3::xxh3_64;

use crate::crashing_request::repeated_number;

/// The host name in the requests of callers.
pub const HOSTNAME: &str = "soak.example";
/// The plain services, between which the route of [`CallClass::Moving`] alternates.
pub const PLAIN_SERVICES: [&str; 2] = ["app-a", "app-b"];
/// The service whose instances are engines.
pub const ENGINE_SERVICE: &str = "model";

/// A class of calls. Each class has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// A call to a plain service that may be repeated.
    Idempotent,
    /// A call to a plain service that must run at most once.
    AtMostOnce,
    /// A call that may be repeated, on a route that is moved between services.
    Moving,
    /// A short prompt, answered by a stream of events.
    ShortPrompt,
    /// A long prompt, which several engines prefill together.
    LongPrompt,
}

impl CallClass {
    /// All classes.
    pub const ALL: [Self; 5] = [
        Self::Idempotent,
        Self::AtMostOnce,
        Self::Moving,
        Self::ShortPrompt,
        Self::LongPrompt,
    ];

    /// Returns the name of the route.
    pub fn route_name(self) -> &'static str {
        match self {
            Self::Idempotent => "safe",
            Self::AtMostOnce => "once",
            Self::Moving => "moving",
            Self::ShortPrompt => "short",
            Self::LongPrompt => "long",
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ShortPrompt | Self::LongPrompt)
    }

    /// Returns the number of tokens of the prompt and the maximum number of tokens of the response;
    /// none for plain services.
    pub fn tokens(self) -> Option<(u64, u64)> {
        match self {
            Self::ShortPrompt => Some((3_000, 600)),
            Self::LongPrompt => Some((130_000, 600)),
            _ => None,
        }
    }

    /// Returns the time within which the final response is due.
    pub fn timeout(self) -> Duration {
        match self {
            Self::Idempotent | Self::AtMostOnce | Self::Moving => Duration::from_secs(3),
            Self::ShortPrompt => Duration::from_secs(6),
            Self::LongPrompt => Duration::from_secs(8),
        }
    }

    /// Returns the time within which a response, or the first event of a stream, is on time.
    pub fn objective(self) -> Duration {
        Duration::from_millis(match self {
            Self::LongPrompt => 3_000,
            _ => 400,
        })
    }

    /// Returns the maximum number of upstreams that may run one call.
    pub fn runs_max(self) -> u32 {
        // Calls that must run at most once may also be sent a second time if the first upstream did
        // not run them.
        2
    }

    /// Returns the kind of the route in the manifest.
    fn call_kind(self) -> CallKind {
        match self {
            Self::Idempotent | Self::Moving => CallKind::Idempotent,
            Self::AtMostOnce => CallKind::AtMostOnce,
            Self::ShortPrompt | Self::LongPrompt => CallKind::Stream { is_resumable: true },
        }
    }
}

/// Returns the performance model of engines with this number of slots in the manifest.
fn engine_model(slots: u32) -> EngineModel {
    EngineModel {
        slots,
        memory_tokens: Tokens(450_000),
        stride: 46,
        step_ms: 0.925,
        step_per_sequence_ms: 0.00483,
        step_per_kilotoken_ms: 0.00254,
        prefill_tokens_per_ms: 256.0,
        prefill_per_megapair_ms: 0.0917,
    }
}

/// Returns the manifest with this version. The route of [`CallClass::Moving`] leads to the service
/// `moving_to`. Engines have this number of slots. Customers are given with their keys.
pub fn manifest(
    version: u64,
    moving_to: &str,
    slots: u32,
    customers: &[(String, Vec<String>)],
) -> ManifestConf {
    let route = |class: CallClass| RouteConf {
        name: class.route_name().to_owned(),
        hostname: HOSTNAME.to_owned(),
        kind: class.call_kind(),
        timeout: class.timeout(),
        objective: class.objective(),
        service: match class {
            CallClass::Idempotent | CallClass::AtMostOnce => PLAIN_SERVICES[0].to_owned(),
            CallClass::Moving => moving_to.to_owned(),
            CallClass::ShortPrompt | CallClass::LongPrompt => ENGINE_SERVICE.to_owned(),
        },
        runs_max: class.runs_max(),
    };
    ManifestConf {
        version,
        routes: CallClass::ALL.map(route).to_vec(),
        services: vec![
            (PLAIN_SERVICES[0].to_owned(), None),
            (PLAIN_SERVICES[1].to_owned(), None),
            (ENGINE_SERVICE.to_owned(), Some(engine_model(slots))),
        ],
        customers: customers.to_vec(),
    }
}

/// Returns the body of a request. The repeats of a request that crashes upstreams are alike.
pub fn request_body(request: &str) -> String {
    match repeated_number(request) {
        Some(number) => format!("question {number} that crashes upstreams"),
        None => format!("question of {request}"),
    }
}

/// Returns the body of the response of a plain service.
pub fn plain_response_body(request: &str, upstream: &str) -> String {
    format!("answer to {request} by {upstream}")
}

/// Returns the number of events in the response to a prompt, which is the same at every engine.
pub fn event_count(request: &str) -> u32 {
    4 + u32::try_from(xxh3_64(request.as_bytes()) % 12).unwrap_or(0)
}

/// Returns the data of the event with this id in the response to a prompt. The data is a hash,
/// which is the same at every engine.
pub fn event_data(request: &str, id: u32) -> String {
    format!("{:016x}", xxh3_64(format!("{request} {id}").as_bytes()))
}
