//! Parses a request into a job: target, work, rules and body.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;

use crate::decide::Work;
use crate::entry::CallKind;
use crate::entry::CallerHeaders;
use crate::entry::FailureReason;
use crate::entry::LifecycleRules;
use crate::entry::ModelCall;
use crate::entry::ReplyFormat;
use crate::manifest::CustomerSpec;
use crate::manifest::Manifest;
use crate::manifest::ModelSpec;
use crate::manifest::RepeatRule;
use crate::manifest::ServiceSpec;
use crate::manifest::Target;
use crate::units::ByteSize;
use crate::units::ContentHash;
use crate::units::CustomerId;
use crate::units::HostId;
use crate::units::IdempotencyKey;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::TargetId;
use crate::units::Tokens;

/// The upper bound of the margin that is reserved at the end of a time limit, so that a failure
/// still reaches the caller within the limit. The margin is a twentieth of the limit, up to this
/// bound.
const REPLY_MARGIN_MAX: Duration = Duration::from_millis(100);

/// A request that has been read and checked.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request id that the caller is told.
    pub request: RequestId,
    /// The target that serves the request.
    pub target: TargetId,
    /// The request as homes and policies see it.
    pub work: Work,
    /// When the head of the request had been read.
    pub received: Instant,
    /// Whether the request may run more than once, and whether it needs a claim.
    pub rules: LifecycleRules,
    /// The format of the reply.
    pub format: ReplyFormat,
    /// The name of the model as the caller wrote it; empty for plain services.
    pub model: String,
    /// The idempotency key, which identifies repeated deliveries of one request.
    pub key: Option<IdempotencyKey>,
    /// A hash over customer, method, path with query, and body.
    pub content: ContentHash,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path_and_query: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Job {
    /// Whether the target is a model, whose response is a stream of tokens.
    pub fn is_model(&self) -> bool {
        self.format != ReplyFormat::PassThrough
    }
}

/// The head of a request: everything that is known before its body is read.
#[derive(Clone, Debug)]
pub struct JobHead {
    /// The request id.
    pub request: RequestId,
    /// The host that holds the caller's connection.
    pub host: HostId,
    /// When the head of the request had been read.
    pub received: Instant,
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The path with the query.
    pub path_and_query: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The parsed headers of the caller.
    pub headers: CallerHeaders,
}

/// What the path of a request selects.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestRoute {
    /// A model call. The body names the model.
    Model(CallKind),
    /// A plain service.
    Service(ServiceSpec),
}

/// Why a request can't be served, with a message for its caller.
pub type Rejection = (FailureReason, String);

impl JobHead {
    /// Finds what serves the request's path and method.
    pub fn route(&self, manifest: &Manifest) -> Result<RequestRoute, Rejection> {
        let kind = match self.path.as_str() {
            "/v1/completions" => Some(CallKind::Completion),
            "/v1/chat/completions" => Some(CallKind::Chat),
            _ => None,
        };
        if let Some(kind) = kind {
            if self.method != Method::POST {
                return Err((
                    FailureReason::NotServed,
                    format!("{} accepts only POST", self.path),
                ));
            }
            return Ok(RequestRoute::Model(kind));
        }
        let name = self
            .path
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let service = manifest
            .services
            .iter()
            .find(|service| service.name.as_str() == name);
        let unknown = || {
            (
                FailureReason::NotServed,
                format!("no service at {}", self.path),
            )
        };
        service
            .cloned()
            .map(RequestRoute::Service)
            .ok_or_else(unknown)
    }

    /// The manifest's entry for the request's customer. Customers without an entry of their own
    /// share the entry `default`, if there is one.
    pub fn customer<'a>(&self, manifest: &'a Manifest) -> Result<&'a CustomerSpec, Rejection> {
        let name = self
            .headers
            .customer
            .as_ref()
            .map_or("default", CustomerId::as_str);
        let find = |name: &str| {
            manifest
                .customers
                .iter()
                .find(|spec| spec.name.as_str() == name)
        };
        let unknown = || {
            (
                FailureReason::Forbidden,
                format!("customer {name} is not in the manifest"),
            )
        };
        find(name).or_else(|| find("default")).ok_or_else(unknown)
    }

    /// The deadline of the request: the time limit of the caller or of the manifest, less a margin
    /// in which a failure can still reach the caller.
    pub fn deadline(&self, manifest: &Manifest) -> Instant {
        let limits = &manifest.limits;
        let max_limit = Duration::from_millis(limits.deadline_max_ms);
        let default_limit = Duration::from_millis(limits.deadline_default_ms);
        let limit = self.headers.timeout.unwrap_or(default_limit).min(max_limit);
        self.received + limit.saturating_sub((limit / 20).min(REPLY_MARGIN_MAX))
    }

    /// The largest body that the manifest allows.
    pub fn body_size_max(manifest: &Manifest) -> ByteSize {
        manifest.limits.body_size_max
    }

    /// Builds the job once the body has been read.
    pub fn into_job(
        self,
        route: &RequestRoute,
        manifest: &Manifest,
        body: Bytes,
    ) -> Result<Job, Rejection> {
        let customer = self.customer(manifest)?;
        let priority = self.priority(manifest, customer)?;
        let customer = self
            .headers
            .customer
            .clone()
            .unwrap_or_else(|| customer.name.clone());
        let deadline = self.deadline(manifest);
        let plan = match route {
            RequestRoute::Model(kind) => model_plan(*kind, manifest, &body)?,
            RequestRoute::Service(service) => self.service_plan(service),
        };
        let repeatable = self.headers.repeatable.unwrap_or(plan.repeatable);
        if plan.key_required && !repeatable && self.headers.key.is_none() {
            let why = format!("{} requires an Idempotency-Key header", plan.target);
            return Err((FailureReason::BadRequest, why));
        }
        let needs_claim = !repeatable && self.headers.key.is_some();
        let content = self.content_hash(&customer, &body);
        Ok(Job {
            request: self.request,
            work: Work {
                request: self.request,
                host: self.host,
                customer,
                priority,
                prompt_tokens: plan.prompt_tokens,
                output_tokens: plan.output_tokens,
                prefixes: plan.prefixes,
                deadline,
                avoid: Vec::new(),
            },
            target: plan.target,
            received: self.received,
            rules: LifecycleRules {
                repeatable,
                needs_claim,
            },
            format: plan.format,
            model: plan.model,
            key: self.headers.key,
            content,
            method: self.method,
            path_and_query: self.path_and_query,
            content_type: self.content_type,
            body,
        })
    }

    /// The rank of the request's priority. Rank 0 is the most urgent, and a request may not ask for
    /// a more urgent rank than that of its customer.
    fn priority(
        &self,
        manifest: &Manifest,
        customer: &CustomerSpec,
    ) -> Result<Priority, Rejection> {
        let rank = |name: &str| {
            let unknown = || {
                (
                    FailureReason::BadRequest,
                    format!("no priority is named {name}"),
                )
            };
            manifest.rank(name).ok_or_else(unknown)
        };
        let customer_rank = rank(&customer.priority)?;
        let Some(name) = &self.headers.priority else {
            return Ok(customer_rank);
        };
        let requested = rank(name)?;
        if requested < customer_rank {
            let why = format!("customer {} may not use the priority {name}", customer.name);
            return Err((FailureReason::Forbidden, why));
        }
        Ok(requested)
    }

    /// The plan for a request to a plain service. Such a request has no token counts. The
    /// service's entry in the manifest, or else the method, tells whether the request may run more
    /// than once, unless a header of the caller does.
    fn service_plan(&self, service: &ServiceSpec) -> TargetPlan {
        let repeatable = match service.repeatable {
            RepeatRule::Always => true,
            RepeatRule::Never => false,
            RepeatRule::ByMethod => self.method.is_idempotent(),
        };
        TargetPlan {
            target: service.name.clone(),
            repeatable,
            key_required: service.key_required,
            format: ReplyFormat::PassThrough,
            model: String::new(),
            prompt_tokens: Tokens::ZERO,
            output_tokens: Tokens::ZERO,
            prefixes: Vec::new(),
        }
    }

    /// Hashes what makes two requests the same: customer, method, path with query, and body.
    fn content_hash(&self, customer: &CustomerId, body: &[u8]) -> ContentHash {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [
            customer.as_str(),
            self.method.as_str(),
            &self.path_and_query,
        ] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(body);
        ContentHash(hasher.digest128())
    }
}

/// What the target of a request determines: the rules, the reply format and the expected load.
struct TargetPlan {
    target: TargetId,
    repeatable: bool,
    key_required: bool,
    format: ReplyFormat,
    model: String,
    prompt_tokens: Tokens,
    output_tokens: Tokens,
    prefixes: Vec<(ContentHash, Tokens)>,
}

/// The plan for a model call. The call is rejected if the model is unknown, or if prompt and output
/// exceed the model's context.
fn model_plan(kind: CallKind, manifest: &Manifest, body: &[u8]) -> Result<TargetPlan, Rejection> {
    let call = ModelCall::read(kind, body).map_err(|why| (FailureReason::BadRequest, why))?;
    let unknown = || {
        (
            FailureReason::UnknownTarget,
            format!("no model is named {}", call.target),
        )
    };
    let spec = find_model(manifest, &call.target).ok_or_else(unknown)?;
    let output_tokens = call
        .output_tokens
        .unwrap_or(manifest.limits.output_tokens_default);
    if call.prompt_tokens + output_tokens > spec.context_tokens_max {
        let why = format!(
            "prompt and output need about {} tokens, but {} accepts at most {}",
            call.prompt_tokens + output_tokens,
            spec.name,
            spec.context_tokens_max
        );
        return Err((FailureReason::BodyTooLarge, why));
    }
    Ok(TargetPlan {
        target: spec.name.clone(),
        repeatable: true,
        key_required: false,
        format: if call.stream {
            ReplyFormat::Stream(kind)
        } else {
            ReplyFormat::Json(kind)
        },
        model: call.target.to_string(),
        prompt_tokens: call.prompt_tokens,
        output_tokens,
        prefixes: call.prefixes,
    })
}

/// Finds a model by its name, or by `MODEL:ADAPTER`.
fn find_model<'a>(manifest: &'a Manifest, target: &TargetId) -> Option<&'a ModelSpec> {
    match manifest.target(target)? {
        Target::Model(model) | Target::Adapter { model, .. } => Some(model),
        Target::Service(_) => None,
    }
}
