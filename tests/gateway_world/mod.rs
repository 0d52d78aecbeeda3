//! Gateways over loopback, with a catalog, headers, orders and upstreams written for tests.

#![allow(dead_code, unreachable_pub)]

pub mod catalog;
pub mod dialect;
pub mod orders;
pub mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use banyanarch::clock::Clock;
use banyanarch::clock::SystemClock;
use banyanarch::decide::EngineModel;
use banyanarch::decide::RetryBound;
use banyanarch::gateway::DecisionLog;
use banyanarch::gateway::Gateway;
use banyanarch::gateway::GatewayConf;
use banyanarch::gateway::Listeners;
use banyanarch::gateway::Meters;
use banyanarch::gateway::serve;
use banyanarch::http::one_shot;
use banyanarch::routing::CallKind;
use banyanarch::routing::CustomerKeys;
use banyanarch::routing::Route;
use banyanarch::routing::RouteTable;
use banyanarch::routing::Service;
use banyanarch::routing::Target;
use banyanarch::units::Generation;
use banyanarch::units::Millicores;
use banyanarch::units::Priority;
use banyanarch::units::Tokens;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;
use tokio::task::JoinHandle;

use catalog::FakeCatalog;
use dialect::TestDialect;
use orders::FakeOrders;

/// What a test gives up after when it waits for something to become true.
const PATIENCE: Duration = Duration::from_secs(20);

/// A host under test.
pub struct TestHost {
    pub gateway: Arc<Gateway>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub orders: Arc<FakeOrders>,
    pub log: LogLines,
    pub serving: JoinHandle<()>,
}

/// What a host wrote into its decision log.
#[derive(Clone, Default)]
pub struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    pub fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }

    pub fn lines(&self) -> Vec<serde_json::Value> {
        let text = self.text();
        let line = |line: &str| serde_json::from_str(line).expect("each line is JSON");
        text.lines().map(line).collect()
    }
}

impl std::io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn conf(name: &str) -> GatewayConf {
    GatewayConf {
        host: name.parse().unwrap(),
        domain: "here".parse().unwrap(),
        callers_addr: local(),
        ready_addr: local(),
        exchange_addr: local(),
        metrics_addr: local(),
        key_lease: Some(Duration::from_secs(5)),
        processors: Millicores(1_000),
        retry_bound: RetryBound {
            per_request: 0.2,
            allowance: 100.0,
            window: Duration::from_secs(10),
        },
        stop_grace: Duration::from_secs(8),
    }
}

impl TestHost {
    pub async fn start(name: &str, catalog: &Arc<FakeCatalog>) -> Self {
        Self::start_with(conf(name), catalog).await
    }

    /// Starts a host and waits until it has read manifest and upstreams, if there are any to read.
    pub async fn start_with(conf: GatewayConf, catalog: &Arc<FakeCatalog>) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let orders = Arc::new(FakeOrders::default());
        let log = LogLines::default();
        let decision_log =
            DecisionLog::new(conf.host.clone(), Arc::clone(&clock), Box::new(log.clone()));
        let gateway = Arc::new(Gateway::new(
            conf,
            clock,
            Arc::new(TestDialect),
            Arc::<FakeOrders>::clone(&orders),
            decision_log,
            Meters::new().unwrap(),
        ));
        let listeners = Listeners::bind(&gateway.conf).await.unwrap();
        let callers = listeners.callers.local_addr().unwrap();
        let ready = listeners.ready.local_addr().unwrap();
        let catalog = Arc::<FakeCatalog>::clone(catalog);
        let has_routes = catalog.has_routes();
        let serving_gateway = Arc::clone(&gateway);
        let serving = tokio::spawn(async move {
            serve(serving_gateway, catalog, listeners).await.unwrap();
        });
        let host = Self {
            gateway,
            callers,
            ready,
            orders,
            log,
            serving,
        };
        if has_routes {
            until(|| host.gateway.is_ready()).await;
        }
        host
    }

    /// Waits until the host has so many hosts on its list.
    pub async fn until_hosts(&self, count: usize) {
        until(|| self.gateway.platform_view.hosts().len() == count).await;
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(&self, req: Request<Full<Bytes>>) -> Response<Bytes> {
        self.try_call(req).await.expect("an answer")
    }

    pub async fn try_call(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, one_shot::OneShotError> {
        one_shot::call(self.callers, req, 1 << 20, PATIENCE).await
    }

    /// The status of the readiness page.
    pub async fn readiness(&self) -> u16 {
        let req = Request::get("/readyz").header("host", "ready");
        let req = req.body(Full::default()).unwrap();
        let res = one_shot::call(self.ready, req, 1 << 10, PATIENCE).await;
        res.unwrap().status().as_u16()
    }
}

/// Waits until something is true.
pub async fn until(mut is_true: impl FnMut() -> bool) {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("it becomes true");
}

/// A route of `service` at `app.example/PREFIX/`.
pub fn route(prefix: &str, kind: CallKind, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        hostname: "app.example".to_owned(),
        path_prefix: format!("/{prefix}/"),
        kind,
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(300),
        pause_objective: None,
        priority: Priority(1),
        targets: vec![Target {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        runs_max: 2,
        is_public: false,
    }
}

/// The routes that most tests use: `safe`, `once`, `stream` and `fixed` (a stream that can't be
/// resumed) of the plain service `app`, and `model` of the engines `llm`.
pub fn table(generation: u64) -> RouteTable {
    let resumable = CallKind::Stream { is_resumable: true };
    let fixed = CallKind::Stream {
        is_resumable: false,
    };
    let mut once = route("once", CallKind::AtMostOnce, "app");
    once.runs_max = 1;
    let routes = vec![
        route("safe", CallKind::Idempotent, "app"),
        once,
        route("stream", resumable, "app"),
        route("fixed", fixed, "app"),
        route("model", resumable, "llm"),
    ];
    let mut table = RouteTable::new(Generation(generation), routes);
    let engines = Service {
        name: "llm".parse().unwrap(),
        engine: Some(engine_model()),
    };
    table.services.insert(engines.name.clone(), engines);
    let keys = [("key-1", "acme"), ("key-2", "globex")];
    let keys = keys.map(|(key, customer)| (key.to_owned(), customer.parse().unwrap()));
    table.keys = CustomerKeys::required(IndexMap::from(keys));
    table
}

fn engine_model() -> EngineModel {
    EngineModel {
        slots: 16,
        memory_tokens: Tokens(450_000),
        stride: 46,
        step_ms: 0.925,
        step_per_writer_ms: 0.00483,
        step_per_kilotoken_ms: 0.00254,
        read_tokens_per_ms: 256.0,
        read_per_megapair_ms: 0.0917,
    }
}

/// A request of customer acme.
pub fn request(path: &str) -> Request<Full<Bytes>> {
    request_of("key-1", path)
}

pub fn request_of(key: &str, path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "app.example")
        .header("test-request", "r-1")
        .header("test-key", key)
        .body(Full::from("question"))
        .unwrap()
}
