//! HTTP handler of an engine's API, as docs/PROTOCOLS.md describes it.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
use banyanarch::units::seconds;
use banyanarch::upstream::LoadReport;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::answer;
use crate::engine::RunEnd;
use crate::engine::attempt::AttemptSpec;
use crate::engine::batch::GangReservation;
use crate::engine::batch::SubmitError;
use crate::engine::cache::Segment;
use crate::engine::prompt::Prompt;
use crate::engine::shared::Shared;
use crate::engine::stream;
use crate::engine::stream::AnswerSource;
use crate::engine::stream::Truncation;
use crate::http;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Reply;

/// HTTP handler of one engine.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct ReserveBody {
    tokens: u64,
    hold_ms: u64,
    #[serde(default)]
    host: String,
}

impl Api {
    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = http::read_body(body).await?;
        let path = head.uri.path();
        if let Some(reply) = self.test_endpoint(&head.method, path, &body) {
            return Ok(reply);
        }
        self.shared.wait_until_unfrozen().await;
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (head.method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "completions"]) | ("POST", ["v1", "chat", "completions"]) => {
                return self.complete(&head, body).await;
            }
            ("GET", ["v1", "attempts"]) => self.list_attempts(),
            ("GET", ["v1", "attempts", id, "stream"]) => self.resume_stream(id, &head.headers),
            ("DELETE", ["v1", "attempts", id]) => self.cancel_attempt(id),
            ("GET", ["load"]) => self.load_report(),
            ("GET", ["v1", "cache", "events"]) => self.cache_events(head.uri.query()),
            ("GET", ["v1", "state"]) => http::json(
                StatusCode::OK,
                &self.shared.loaded_state().state(Instant::now()),
            ),
            ("PUT", ["v1", "state"]) => self.apply_order(&body),
            ("GET", ["v1", "kv", prefix]) => self.export_prefix(prefix).await,
            ("PUT", ["v1", "kv", prefix]) => self.import_prefix(prefix, &body).await,
            ("POST", ["v1", "gang", id]) => self.reserve(id, &body),
            ("DELETE", ["v1", "gang", id]) => self.release_reservation(id),
            _ => http::empty(StatusCode::NOT_FOUND),
        };
        Ok(reply)
    }

    /// Handles the endpoints of tests and checkers, which work whatever the faults are.
    fn test_endpoint(&self, method: &Method, path: &str, body: &[u8]) -> Option<Response<Body>> {
        match (method.as_str(), path) {
            ("GET", "/record") => {
                let runs = self.shared.batch().log.all();
                Some(http::json(StatusCode::OK, &runs))
            }
            ("GET", "/orders") => {
                let applied_orders = self.shared.loaded_state().applied_orders.clone();
                Some(http::json(StatusCode::OK, &applied_orders))
            }
            ("PUT", "/faults") => Some(match serde_json::from_slice(body) {
                Ok(faults) => {
                    self.shared.set_faults(faults);
                    http::empty(StatusCode::OK)
                }
                Err(e) => http::text(StatusCode::BAD_REQUEST, e.to_string()),
            }),
            _ => None,
        }
    }

    /// Submits the attempt of a completion call, and returns its answer whole or streamed. The
    /// faults may fail, cut or truncate the answer.
    async fn complete(&self, head: &Parts, body: Bytes) -> Reply {
        let prompt = match Prompt::parse(&body) {
            Ok(prompt) => prompt,
            Err(reason) => return Ok(http::text(StatusCode::BAD_REQUEST, reason)),
        };
        if self.shared.loaded_state().state(Instant::now()).loading {
            return Ok(http::not_run("loading"));
        }
        let spec = self.attempt_spec(head, &body, &prompt);
        let id = spec.id.clone();
        let is_chat = spec.path.contains("chat");
        match self.shared.batch().submit(spec) {
            Ok(()) => (),
            Err(SubmitError::Duplicate) => {
                return Ok(http::text(
                    StatusCode::CONFLICT,
                    "an attempt with this id was accepted before",
                ));
            }
            Err(SubmitError::NoCapacity(reason)) => return Ok(http::not_run(reason)),
        }
        let accepted_count = self.shared.batch().log.len();
        let faults = self.shared.faults();
        if is_nth(accepted_count, faults.fail_one_in) {
            self.shared.batch().fail(&id, Instant::now());
            return Ok(http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        self.shared.work.notify_one();
        let Some(source) = self.shared.answer_source(&id) else {
            return Err(io::Error::other(
                "the attempt was removed before its answer was read",
            ));
        };
        let truncation = match (
            is_nth(accepted_count, faults.cut_one_in),
            is_nth(accepted_count, faults.short_one_in),
        ) {
            (true, _) => Truncation::ConnectionCut,
            (_, true) => Truncation::MissingEndMark,
            _ => Truncation::None,
        };
        let wants_stream = http::header(&head.headers, "x-stream") == Some("true");
        if prompt.stream || wants_stream {
            return Ok(self.stream_answer(source, 0, truncation));
        }
        whole_answer(source, is_chat).await
    }

    fn attempt_spec(&self, head: &Parts, body: &[u8], prompt: &Prompt) -> AttemptSpec {
        let text = |name| http::header(&head.headers, name);
        let number = |name| text(name).and_then(|value| value.parse::<u64>().ok());
        let new_id = || AttemptId(rand::random()).to_string();
        let timeout = number("x-timeout-ms").map(Duration::from_millis);
        let gang_len = text("x-gang").map_or(1, |names| names.split(',').count() as u64);
        let marker = self.shared.faults().crash_marker;
        AttemptSpec {
            id: text("x-request-id").map_or_else(new_id, str::to_owned),
            host: text("x-host").unwrap_or("none").to_owned(),
            key: text("idempotency-key").map(str::to_owned),
            path: head.uri.path().to_owned(),
            priority: number("x-priority")
                .and_then(|p| p.try_into().ok())
                .unwrap_or(0),
            body_hash: ContentHash::of(body),
            prompt_tokens: prompt.len_tokens(),
            max_tokens: prompt
                .max_tokens
                .unwrap_or(self.shared.options.output_tokens_default),
            segments: prompt.segments(),
            gang_len: gang_len.max(1),
            deadline: timeout.map(|timeout| Instant::now() + timeout),
            crashes: marker.is_some_and(|marker| prompt.text.contains(&marker)),
        }
    }

    fn stream_answer(
        &self,
        source: AnswerSource,
        offset: u64,
        truncation: Truncation,
    ) -> Response<Body> {
        let events = stream::events(Arc::clone(&self.shared), source, offset, truncation);
        http::streamed("text/event-stream", events)
    }

    /// Lists the attempts that run or hold memory, and the reservations.
    fn list_attempts(&self) -> Response<Body> {
        let batch = self.shared.batch();
        let attempts = batch
            .attempts
            .values()
            .filter(|a| !a.has_ended() || a.held_tokens > 0);
        let attempts = attempts.map(
            |a| json!({"attempt": a.spec.id, "host": a.spec.host, "held_tokens": a.held_tokens}),
        );
        let reservations = batch
            .reservations
            .iter()
            .map(|(id, r)| json!({"attempt": id, "host": r.host, "held_tokens": r.tokens}));
        let listed: Vec<Value> = attempts.chain(reservations).collect();
        http::json(StatusCode::OK, &listed)
    }

    /// Streams the answer of an attempt from the offset in the `Last-Event-ID` header on.
    fn resume_stream(&self, id: &str, headers: &HeaderMap) -> Response<Body> {
        let last = http::header(headers, "last-event-id").unwrap_or("");
        let offset = last
            .rsplit_once(':')
            .and_then(|(_, offset)| offset.parse().ok());
        match self.shared.answer_source(id) {
            Some(source) => self.stream_answer(source, offset.unwrap_or(0), Truncation::None),
            None => http::text(StatusCode::NOT_FOUND, "no such attempt"),
        }
    }

    fn cancel_attempt(&self, id: &str) -> Response<Body> {
        match self.shared.batch().cancel(id, Instant::now()) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::NOT_FOUND, "no such attempt"),
        }
    }

    fn load_report(&self) -> Response<Body> {
        let report = self.shared.reports().load(Instant::now());
        let initial = || LoadReport {
            capacity_tokens: banyanarch::units::Tokens(self.shared.options.memory_tokens),
            prefill_tokens_per_second: self.shared.options.prefill_tokens_per_second,
            ..LoadReport::default()
        };
        http::json(StatusCode::OK, &report.unwrap_or_else(initial))
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let events = self.shared.reports().events_after(after, Instant::now());
        http::json(StatusCode::OK, &events)
    }

    fn apply_order(&self, body: &[u8]) -> Response<Body> {
        let order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        match self.shared.loaded_state().apply(order, Instant::now()) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::CONFLICT, "the fencing number is outdated"),
        }
    }

    async fn export_prefix(&self, prefix: &str) -> Response<Body> {
        let chain = prefix
            .parse()
            .ok()
            .and_then(|prefix| self.shared.batch().cache.export(prefix));
        let Some(chain) = chain else {
            return http::text(StatusCode::NOT_FOUND, "no such prefix");
        };
        self.wait_for_transfer(&chain).await;
        http::json(StatusCode::OK, &chain)
    }

    async fn import_prefix(&self, prefix: &str, body: &[u8]) -> Response<Body> {
        let chain: Vec<Segment> = match serde_json::from_slice(body) {
            Ok(chain) => chain,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let last = chain.last().map(|segment| segment.prefix.to_string());
        if last.as_deref() != Some(prefix) {
            return http::text(
                StatusCode::BAD_REQUEST,
                "the last segment does not end the prefix in the path",
            );
        }
        self.wait_for_transfer(&chain).await;
        let mut batch = self.shared.batch();
        let free_tokens = batch.free_tokens();
        batch.cache.store(&chain, free_tokens);
        http::empty(StatusCode::OK)
    }

    /// Sleeps for as long as the transfer of these segments takes.
    async fn wait_for_transfer(&self, chain: &[Segment]) {
        let tokens: u64 = chain.iter().map(|segment| segment.tokens).sum();
        let duration_s = tokens as f64 / self.shared.options.kv_tokens_per_second;
        tokio::time::sleep(seconds(duration_s)).await;
    }

    fn reserve(&self, id: &str, body: &[u8]) -> Response<Body> {
        let body: ReserveBody = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let reservation = GangReservation {
            host: body.host,
            tokens: body.tokens,
            until: Instant::now() + Duration::from_millis(body.hold_ms),
        };
        match self.shared.batch().reserve(id, reservation) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::CONFLICT, "not enough free memory"),
        }
    }

    fn release_reservation(&self, id: &str) -> Response<Body> {
        match self.shared.batch().reservations.shift_remove(id) {
            Some(_) => http::empty(StatusCode::OK),
            None => http::text(StatusCode::NOT_FOUND, "no such reservation"),
        }
    }
}

impl Handler for Api {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.route(request))
    }
}

/// Waits for the end of an attempt and returns its whole answer as one JSON response.
async fn whole_answer(mut source: AnswerSource, is_chat: bool) -> Reply {
    let ended = source
        .progress
        .wait_for(|progress| progress.end.is_some())
        .await;
    let progress = *ended.map_err(io::Error::other)?;
    if progress.end != Some(RunEnd::Completed) {
        return Ok(http::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the attempt did not complete",
        ));
    }
    let text = answer::tokens_text(source.body_hash, 0, progress.output_tokens);
    let mut choice = json!({"index": 0, "finish_reason": source.finish_reason()});
    match is_chat {
        true => choice["message"] = json!({"role": "assistant", "content": text}),
        false => choice["text"] = json!(text),
    }
    let usage = source.usage(progress);
    let answer = json!({"id": source.id, "choices": [choice], "usage": usage});
    Ok(http::json(StatusCode::OK, &answer))
}

fn is_nth(count: u64, one_in: u64) -> bool {
    one_in > 0 && count.is_multiple_of(one_in)
}
