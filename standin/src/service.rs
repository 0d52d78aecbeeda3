//! A fake plain service that echoes the body of each call after a latency and records its calls.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use banyanarch::units::AttemptId;
use banyanarch::units::BoundedTime;
use banyanarch::units::ContentHash;
use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::engine::RunEnd;
use crate::engine::RunLog;
use crate::engine::RunRecord;
use crate::engine::unix_time_ms;
use crate::http;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Server;

/// Configuration of a fake service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOptions {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The latency of a call, in milliseconds.
    pub latency_ms: u64,
    /// The number of concurrent calls up to which the latency does not grow.
    pub slots: u64,
    /// The file to which starts and ends of calls are appended, so that the record outlives a
    /// crash.
    pub record_file: Option<PathBuf>,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            latency_ms: 5,
            slots: 32,
            record_file: None,
        }
    }
}

impl ServiceOptions {
    /// Reads the options that the usage text lists.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Self, pico_args::Error> {
        let default = Self::default();
        Ok(Self {
            listen: args
                .opt_value_from_str("--listen")?
                .unwrap_or(default.listen),
            latency_ms: args
                .opt_value_from_str("--latency-ms")?
                .unwrap_or(default.latency_ms),
            slots: args.opt_value_from_str("--slots")?.unwrap_or(default.slots),
            record_file: args.opt_value_from_str("--record")?,
        })
    }
}

/// Faults of a fake service; the default has none.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Accept calls but do not answer them.
    pub freeze: bool,
    /// Factor by which the latency of each call is multiplied.
    pub slow_factor: f64,
    /// Fail every n-th call with status 500; 0 for none.
    pub fail_one_in: u64,
    /// Run every n-th call and cut the connection in place of its answer; 0 for none.
    pub cut_one_in: u64,
    /// Refuse each call before it runs.
    pub refuse: bool,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        Self {
            freeze: false,
            slow_factor: 1.0,
            fail_one_in: 0,
            cut_one_in: 0,
            refuse: false,
        }
    }
}

/// A running fake service. Dropping it closes the server and all its connections.
#[derive(Debug)]
pub struct Service {
    server: Server,
    api: Arc<Api>,
}

impl Service {
    /// Binds the listener, opens the record file and serves on the current runtime.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let listen = options.listen;
        let api = Arc::new(Api {
            log: Mutex::new(RunLog::new(options.record_file.as_deref())?),
            faults: watch::Sender::new(ServiceFaults::default()),
            active_calls: watch::Sender::new(0),
            options,
        });
        let server = Server::start(listen, Arc::clone(&api) as _).await?;
        Ok(Self { server, api })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.api.faults.send_replace(faults);
    }

    /// Returns the record of every call that ran.
    pub fn record(&self) -> Vec<RunRecord> {
        self.api.log().all()
    }

    /// Waits until the server is closed.
    pub async fn closed(&self) {
        self.server.closed().await;
    }
}

#[derive(Debug)]
struct Api {
    options: ServiceOptions,
    log: Mutex<RunLog>,
    faults: watch::Sender<ServiceFaults>,
    active_calls: watch::Sender<u64>,
}

impl Api {
    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = http::read_body(body).await?;
        match (head.method.as_str(), head.uri.path()) {
            ("GET", "/record") => return Ok(http::json(StatusCode::OK, &self.log().all())),
            ("PUT", "/faults") => return Ok(self.put_faults(&body)),
            _ => (),
        }
        let faults = self.faults.borrow().clone();
        if faults.refuse {
            return Ok(http::not_run("refused by a fault"));
        }
        // The call runs to its end when the caller disconnects, as it would in a real service.
        let call_task =
            tokio::spawn(Arc::clone(&self).run_call(new_run_record(&head, &body), faults.clone()));
        let count = call_task.await.map_err(io::Error::other)?;
        if is_nth(count, faults.cut_one_in) {
            return Err(io::Error::other("cut off"));
        }
        if is_nth(count, faults.fail_one_in) {
            return Ok(http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        Ok(http::text(StatusCode::OK, body))
    }

    /// Records and runs a call: waits while the service is frozen, then for the latency, which
    /// grows with the number of active calls. Returns the number of the call, counted from 1; the
    /// caller fails or cuts the response by this number.
    async fn run_call(self: Arc<Self>, run: RunRecord, faults: ServiceFaults) -> u64 {
        let attempt = run.attempt.clone();
        let count = {
            let mut log = self.log();
            log.start(run);
            log.len()
        };
        self.active_calls
            .send_modify(|active_calls| *active_calls += 1);
        let _ = self
            .faults
            .subscribe()
            .wait_for(|faults| !faults.freeze)
            .await;
        let overload =
            (*self.active_calls.borrow() as f64 / self.options.slots.max(1) as f64).max(1.0);
        let latency = Duration::from_millis(self.options.latency_ms);
        tokio::time::sleep(latency.scaled(faults.slow_factor.max(0.0) * overload)).await;
        self.active_calls
            .send_modify(|active_calls| *active_calls -= 1);
        let end = match is_nth(count, faults.fail_one_in) {
            true => RunEnd::Failed,
            false => RunEnd::Completed,
        };
        self.log().end(&attempt, end);
        count
    }

    fn put_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                http::empty(StatusCode::OK)
            }
            Err(e) => http::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    fn log(&self) -> MutexGuard<'_, RunLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Api {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.route(request))
    }
}

fn new_run_record(head: &Parts, body: &[u8]) -> RunRecord {
    let text = |name| http::header(&head.headers, name).map(str::to_owned);
    RunRecord {
        attempt: text("x-request-id").unwrap_or_else(|| AttemptId(rand::random()).to_string()),
        host: text("x-host").unwrap_or_else(|| "none".to_owned()),
        request_hash: ContentHash::of(body),
        key: text("idempotency-key"),
        path: head.uri.path().to_owned(),
        taken_ms: unix_time_ms(),
        ended_ms: None,
        end: None,
        prefilled_tokens: 0,
        output_tokens: 0,
    }
}

fn is_nth(count: u64, one_in: u64) -> bool {
    one_in > 0 && count.is_multiple_of(one_in)
}
