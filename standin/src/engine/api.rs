//! HTTP handler of an engine's API, as docs/PROTOCOLS.md describes it.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use banyanarch::units::AttemptId;
use banyanarch::units::ContentHash;
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
use crate::engine::attempt::Offer;
use crate::engine::batch::Hold;
use crate::engine::batch::Refusal;
use crate::engine::cache::Segment;
use crate::engine::prompt::Prompt;
use crate::engine::shared::Shared;
use crate::engine::stream;
use crate::engine::stream::Break;
use crate::engine::stream::Source;
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
struct HoldBody {
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
        if let Some(reply) = self.for_checkers(&head.method, path, &body) {
            return Ok(reply);
        }
        self.shared.wait_until_thawed().await;
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let reply = match (head.method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "completions"]) | ("POST", ["v1", "chat", "completions"]) => {
                return self.complete(&head, body).await;
            }
            ("GET", ["v1", "attempts"]) => self.list(),
            ("GET", ["v1", "attempts", id, "stream"]) => self.resume(id, &head.headers),
            ("DELETE", ["v1", "attempts", id]) => self.cancel(id),
            ("GET", ["load"]) => self.load(),
            ("GET", ["v1", "cache", "events"]) => self.cache_events(head.uri.query()),
            ("GET", ["v1", "state"]) => {
                http::json(StatusCode::OK, &self.shared.loaded().state(Instant::now()))
            }
            ("PUT", ["v1", "state"]) => self.order(&body),
            ("GET", ["v1", "kv", prefix]) => self.export(prefix).await,
            ("PUT", ["v1", "kv", prefix]) => self.import(prefix, &body).await,
            ("POST", ["v1", "gang", id]) => self.hold(id, &body),
            ("DELETE", ["v1", "gang", id]) => self.give_back(id),
            _ => http::empty(StatusCode::NOT_FOUND),
        };
        Ok(reply)
    }

    /// Handles the endpoints of tests and checkers, which work whatever the faults are.
    fn for_checkers(&self, method: &Method, path: &str, body: &[u8]) -> Option<Response<Body>> {
        match (method.as_str(), path) {
            ("GET", "/record") => {
                let runs = self.shared.batch().log.all();
                Some(http::json(StatusCode::OK, &runs))
            }
            ("GET", "/orders") => {
                let obeyed = self.shared.loaded().obeyed.clone();
                Some(http::json(StatusCode::OK, &obeyed))
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

    async fn complete(&self, head: &Parts, body: Bytes) -> Reply {
        let prompt = match Prompt::parse(&body) {
            Ok(prompt) => prompt,
            Err(why) => return Ok(http::text(StatusCode::BAD_REQUEST, why)),
        };
        if self.shared.loaded().state(Instant::now()).loading {
            return Ok(http::not_run("loading"));
        }
        let offer = self.offer_of(head, &body, &prompt);
        let id = offer.id.clone();
        let is_chat = offer.path.contains("chat");
        match self.shared.batch().offer(offer) {
            Ok(()) => (),
            Err(Refusal::Duplicate) => {
                return Ok(http::text(
                    StatusCode::CONFLICT,
                    "this attempt was taken in before",
                ));
            }
            Err(Refusal::NoRoom(why)) => return Ok(http::not_run(why)),
        }
        let taken = self.shared.batch().log.len();
        let faults = self.shared.faults();
        if is_nth(taken, faults.fail_one_in) {
            self.shared.batch().fail(&id, Instant::now());
            return Ok(http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        self.shared.work.notify_one();
        let Some(source) = self.shared.source(&id) else {
            return Err(io::Error::other("the attempt is gone"));
        };
        let breaks = match (
            is_nth(taken, faults.cut_one_in),
            is_nth(taken, faults.short_one_in),
        ) {
            (true, _) => Break::Cut,
            (_, true) => Break::Short,
            _ => Break::Never,
        };
        let wants_stream = http::header(&head.headers, "x-stream") == Some("true");
        if prompt.stream || wants_stream {
            return Ok(self.streamed(source, 0, breaks));
        }
        whole(source, is_chat).await
    }

    fn offer_of(&self, head: &Parts, body: &[u8], prompt: &Prompt) -> Offer {
        let text = |name| http::header(&head.headers, name);
        let number = |name| text(name).and_then(|value| value.parse::<u64>().ok());
        let new_id = || AttemptId(rand::random()).to_string();
        let timeout = number("x-timeout-ms").map(Duration::from_millis);
        let gang_len = text("x-gang").map_or(1, |names| names.split(',').count() as u64);
        let marker = self.shared.faults().crash_marker;
        Offer {
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

    fn streamed(&self, source: Source, offset: u64, breaks: Break) -> Response<Body> {
        let events = stream::events(Arc::clone(&self.shared), source, offset, breaks);
        http::streamed("text/event-stream", events)
    }

    fn list(&self) -> Response<Body> {
        let batch = self.shared.batch();
        let attempts = batch
            .attempts
            .values()
            .filter(|a| !a.has_ended() || a.held_tokens > 0);
        let attempts = attempts.map(
            |a| json!({"attempt": a.offer.id, "host": a.offer.host, "held_tokens": a.held_tokens}),
        );
        let holds = batch.holds.iter().map(
            |(id, hold)| json!({"attempt": id, "host": hold.host, "held_tokens": hold.tokens}),
        );
        let listed: Vec<Value> = attempts.chain(holds).collect();
        http::json(StatusCode::OK, &listed)
    }

    fn resume(&self, id: &str, headers: &HeaderMap) -> Response<Body> {
        let last = http::header(headers, "last-event-id").unwrap_or("");
        let offset = last
            .rsplit_once(':')
            .and_then(|(_, offset)| offset.parse().ok());
        match self.shared.source(id) {
            Some(source) => self.streamed(source, offset.unwrap_or(0), Break::Never),
            None => http::text(StatusCode::NOT_FOUND, "no such attempt"),
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        match self.shared.batch().cancel(id, Instant::now()) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::NOT_FOUND, "no such attempt"),
        }
    }

    fn load(&self) -> Response<Body> {
        let report = self.shared.reports().load(Instant::now());
        let first = || LoadReport {
            capacity_tokens: banyanarch::units::Tokens(self.shared.options.memory_tokens),
            prefill_tokens_per_second: self.shared.options.prefill_tokens_per_second,
            ..LoadReport::default()
        };
        http::json(StatusCode::OK, &report.unwrap_or_else(first))
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        let events = self.shared.reports().events_after(after, Instant::now());
        http::json(StatusCode::OK, &events)
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        match self.shared.loaded().order(order, Instant::now()) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::CONFLICT, "the fencing number is old"),
        }
    }

    async fn export(&self, prefix: &str) -> Response<Body> {
        let chain = prefix
            .parse()
            .ok()
            .and_then(|prefix| self.shared.batch().cache.export(prefix));
        let Some(chain) = chain else {
            return http::text(StatusCode::NOT_FOUND, "no such prefix");
        };
        self.transfer(&chain).await;
        http::json(StatusCode::OK, &chain)
    }

    async fn import(&self, prefix: &str, body: &[u8]) -> Response<Body> {
        let chain: Vec<Segment> = match serde_json::from_slice(body) {
            Ok(chain) => chain,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let last = chain.last().map(|segment| segment.prefix.to_string());
        if last.as_deref() != Some(prefix) {
            return http::text(StatusCode::BAD_REQUEST, "not this prefix");
        }
        self.transfer(&chain).await;
        let mut batch = self.shared.batch();
        let room = batch.free_tokens();
        batch.cache.store(&chain, room);
        http::empty(StatusCode::OK)
    }

    async fn transfer(&self, chain: &[Segment]) {
        let tokens: u64 = chain.iter().map(|segment| segment.tokens).sum();
        let takes_s = tokens as f64 / self.shared.options.kv_tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(takes_s)).await;
    }

    fn hold(&self, id: &str, body: &[u8]) -> Response<Body> {
        let body: HoldBody = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let hold = Hold {
            host: body.host,
            tokens: body.tokens,
            until: Instant::now() + Duration::from_millis(body.hold_ms),
        };
        match self.shared.batch().hold(id, hold) {
            true => http::empty(StatusCode::OK),
            false => http::text(StatusCode::CONFLICT, "no room"),
        }
    }

    fn give_back(&self, id: &str) -> Response<Body> {
        match self.shared.batch().holds.shift_remove(id) {
            Some(_) => http::empty(StatusCode::OK),
            None => http::text(StatusCode::NOT_FOUND, "no such hold"),
        }
    }
}

impl Handler for Api {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.route(request))
    }
}

/// Waits for the end of an attempt and returns its whole answer as one JSON response.
async fn whole(mut source: Source, is_chat: bool) -> Reply {
    let ended = source
        .progress
        .wait_for(|progress| progress.end.is_some())
        .await;
    let progress = *ended.map_err(io::Error::other)?;
    if progress.end != Some(RunEnd::Completed) {
        return Ok(http::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "it did not end well",
        ));
    }
    let text = answer::texts(source.body_hash, 0, progress.output_tokens);
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
