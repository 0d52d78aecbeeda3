//! A small site: the stand-ins in this process, and hosts as processes of their own.

// Each test file uses a part of it.
#![allow(dead_code)]

mod blackhole_proxy;
pub(crate) mod callers;
mod host_process;

use std::net::SocketAddr;
use std::time::Duration;

use banyanarch::http::ChunksBody;
use banyanarch::http::HttpClient;
use banyanarch::http::HttpError;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use standin::engine::Engine;
use standin::engine::EngineOptions;
use standin::machine;
use standin::machine::Machine;
use standin::platform::PlatformFake;
use standin::service::Service;
use standin::service::ServiceOptions;

#[allow(
    unused_imports,
    reason = "only some test files cut the way to the platform"
)]
pub(crate) use blackhole_proxy::BlackholeProxy;
pub(crate) use host_process::HostProcess;

/// Long against everything that a test waits for, short against a CI run that hangs.
const PATIENCE: Duration = Duration::from_secs(30);
/// What each engine of a test and the manifest agree on.
const ENGINE_MEMORY_TOKENS: u64 = 200_000;
const PAUSE: Duration = Duration::from_millis(20);
const BODY_LEN_MAX: usize = 16 << 20;

/// The manifest of every test; `generation` only tells publications apart.
pub(crate) const MANIFEST: &str = "
deployment: test
models:
  - name: geet-model
    version: \"1\"
    engine_memory_tokens: 200000
    engine_slots: 64
    prefill_speed: 100000tok/s
    context_tokens_max: 1000000
services:
  - name: adhikar-app
    concurrency_max: 16
    repeatable: by_method
customers:
  - name: default
    rate: 1000req/s
    burst_requests: 1000
    priority: normal
  - name: studio
    rate: 1000req/s
    burst_requests: 1000
    priority: bulk
priorities:
  - name: normal
    rank: 1
  - name: bulk
    rank: 2
";

/// The stand-ins around the hosts of a test.
pub(crate) struct TestSite {
    pub(crate) platform: PlatformFake,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    pub(crate) hosts: Vec<HostProcess>,
}

impl TestSite {
    /// A platform with the manifest, and nothing else yet.
    pub(crate) async fn start() -> Self {
        let platform = PlatformFake::start(loopback()).await.unwrap();
        let site = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
        };
        site.publish(1, MANIFEST).await;
        site
    }

    /// A platform, some engines in failure domain `a`, one service and some hosts there.
    pub(crate) async fn with(engines: usize, hosts: usize) -> Self {
        let mut site = Self::start().await;
        for _ in 0..engines {
            site.add_engine("a", EngineOptions::default()).await;
        }
        site.add_service("a").await;
        for _ in 0..hosts {
            site.add_host("a").await;
        }
        site.wait_until_ready().await;
        site
    }

    /// Adds an engine.
    pub(crate) async fn add_engine(&mut self, domain: &str, mut options: EngineOptions) -> usize {
        // Loaded as the manifest wants it, so that no test begins with a load.
        options.state.model = "geet-model".to_owned();
        let engine = Engine::start(options).await.unwrap();
        let index = self.engines.len();
        self.machine(&format!("engine-{index}"), domain, "geet-model")
            .register(engine.addr())
            .await
            .unwrap();
        self.engines.push(engine);
        index
    }

    /// Adds a service instance.
    pub(crate) async fn add_service(&mut self, domain: &str) -> usize {
        let service = Service::start(ServiceOptions::default()).await.unwrap();
        let index = self.services.len();
        self.machine(&format!("service-{index}"), domain, "adhikar-app")
            .register(service.addr())
            .await
            .unwrap();
        self.services.push(service);
        index
    }

    /// Adds a host and enters it in the platform's list.
    pub(crate) async fn add_host(&mut self, domain: &str) -> usize {
        self.add_host_at(domain, self.platform.addr()).await
    }

    /// Adds a host that reaches the platform by another address.
    pub(crate) async fn add_host_at(&mut self, domain: &str, platform: SocketAddr) -> usize {
        let index = self.hosts.len();
        let host = HostProcess::start(&format!("host-{index}"), domain, platform).await;
        host.register(self.platform.addr(), "live").await;
        self.hosts.push(host);
        index
    }

    /// Adds a host that knows its neighbours from its settings and may not reach the platform.
    pub(crate) async fn add_seeded_host(&mut self, domain: &str, platform: SocketAddr) -> usize {
        let index = self.hosts.len();
        let name = format!("host-{index}");
        let host = HostProcess::start_seeded(&name, domain, platform, &self.hosts).await;
        self.hosts.push(host);
        index
    }

    /// Enters an upstream as leaving.
    pub(crate) async fn mark_engine_leaving(&self, index: usize, domain: &str) {
        let machine = self.machine(&format!("engine-{index}"), domain, "geet-model");
        machine
            .set_state(self.engines[index].addr(), "leaving")
            .await
            .unwrap();
    }

    /// Publishes a manifest whatever is there.
    pub(crate) async fn publish(&self, generation: u64, text: &str) {
        let spec = serde_json::json!({
            "generation": generation,
            "publish_id": format!("test-{generation}"),
            "hash": banyanarch::units::ContentHash::of(text.as_bytes()),
            "text": text,
        });
        let path = "/apis/banyanarch.dev/v1/manifests";
        machine::put(self.platform.addr(), path, "current", &spec)
            .await
            .unwrap();
    }

    /// Waits until every host is ready and serves the model.
    pub(crate) async fn wait_until_ready(&self) {
        for host in &self.hosts {
            host.wait_until_ready().await;
            wait_until("a host that serves", async || {
                let res = host.complete("ready?", 1).await;
                res.is_ok_and(|res| res.status() == 200)
            })
            .await;
        }
    }

    /// Waits until every host knows all others as alive.
    pub(crate) async fn wait_until_joined(&self) {
        for host in &self.hosts {
            wait_until("a host that knows all others", async || {
                let status = host.status().await;
                let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
                hosts.iter().filter(|view| view["state"] == "alive").count() == self.hosts.len()
            })
            .await;
        }
    }

    /// The engine that runs this body now.
    pub(crate) fn engine_running(&self, body: &str) -> usize {
        let hash = banyanarch::units::ContentHash::of(body.as_bytes());
        let runs = |engine: &Engine| {
            engine
                .record()
                .iter()
                .any(|run| run.request_hash == hash && run.end.is_none())
        };
        self.engines.iter().position(runs).unwrap()
    }

    /// The host that is the home of a target's pool.
    pub(crate) async fn home_of(&self, target: &str) -> usize {
        let status = self.hosts[0].status().await;
        let homes = status["pools"].as_array().cloned().unwrap_or_default();
        let home = homes
            .iter()
            .find(|home| home["pool"].as_str().unwrap().contains(target));
        let name = home.unwrap()["home"].as_str().unwrap().to_owned();
        self.hosts
            .iter()
            .position(|host| host.name == name)
            .unwrap()
    }

    /// Waits until no engine holds memory for anyone.
    pub(crate) async fn wait_until_idle(&self) {
        wait_until("engines that hold nothing", async || {
            self.engines
                .iter()
                .all(|engine| engine.free_tokens() == ENGINE_MEMORY_TOKENS)
        })
        .await;
    }

    /// All attempts that the engines ran for this body.
    pub(crate) fn run_count(&self, body: &str) -> usize {
        let hash = banyanarch::units::ContentHash::of(body.as_bytes());
        let records = self.engines.iter().flat_map(Engine::record);
        records.filter(|record| record.request_hash == hash).count()
    }

    /// All calls that the services ran for this body.
    pub(crate) fn service_run_count(&self, body: &str) -> usize {
        let hash = banyanarch::units::ContentHash::of(body.as_bytes());
        let records = self.services.iter().flat_map(Service::record);
        records.filter(|record| record.request_hash == hash).count()
    }

    fn machine(&self, name: &str, domain: &str, target: &str) -> Machine {
        Machine {
            name: name.to_owned(),
            domain: domain.to_owned(),
            target: target.to_owned(),
            platform: self.platform.addr(),
        }
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "waited in vain for {what}"
        );
        tokio::time::sleep(PAUSE).await;
    }
}

/// A completion call's body.
pub(crate) fn completion(prompt: &str, max_tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "geet-model",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// Sends one call and reads its whole answer.
pub(crate) async fn call(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Bytes>, HttpError> {
    let mut req = Request::post(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(ChunksBody::single(body.to_owned())).unwrap();
    HttpClient::new(addr)
        .call(req, BODY_LEN_MAX, PATIENCE)
        .await
}

/// Reads a page.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>, HttpError> {
    let req = Request::get(path).body(ChunksBody::default()).unwrap();
    HttpClient::new(addr)
        .call(req, BODY_LEN_MAX, PATIENCE)
        .await
}

/// The outcome header of an answer.
pub(crate) fn outcome(res: &Response<Bytes>) -> &str {
    let header = res.headers().get("banyanarch-outcome");
    header.map_or("", |value| value.to_str().unwrap())
}

/// The text of a whole completion.
pub(crate) fn completion_text(res: &Response<Bytes>) -> String {
    let body: serde_json::Value = serde_json::from_slice(res.body()).unwrap();
    body["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// The answer that belongs to a body.
pub(crate) fn expected_answer(body: &str, max_tokens: u64) -> String {
    let hash = banyanarch::units::ContentHash::of(body.as_bytes());
    standin::answer::whole(hash, max_tokens)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
