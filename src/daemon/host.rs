//! One host: all parts of a running daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::StatusCode;
use indexmap::IndexMap;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::board::Board;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::daemon::DaemonError;
use crate::daemon::machine_list;
use crate::daemon::manifest_loop;
use crate::daemon::no_peers::NoPeers;
use crate::daemon::own_homes::OwnHomes;
use crate::daemon::poll;
use crate::daemon::status_server;
use crate::daemon::status_server::Page;
use crate::daemon::status_server::Pages;
use crate::decide::Poison;
use crate::decide::PoisonList;
use crate::entry::BodyMemory;
use crate::entry::ClaimAnswer;
use crate::entry::ClaimDesk;
use crate::entry::ClaimWanted;
use crate::entry::EntryParts;
use crate::entry::InFlight;
use crate::entry::PoisonSpread;
use crate::entry::serve_callers;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeDesk;
use crate::fleet::HomeDeskParts;
use crate::fleet::HomeGranter;
use crate::fleet::HomeGranterParts;
use crate::fleet::HomeMap;
use crate::fleet::UpstreamRegistry;
use crate::http::HttpClient;
use crate::observe::Bounds;
use crate::observe::Explanations;
use crate::observe::Metrics;
use crate::platform::HttpPlatform;
use crate::platform::Kind;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::units::RequestId;

const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);
const MACHINES_PAUSE: Duration = Duration::from_secs(1);
const REFRESH_PAUSE: Duration = Duration::from_millis(200);

/// A running daemon.
pub(crate) struct Host {
    settings: Settings,
    parts: Arc<EntryParts>,
    desk: Arc<HomeDesk>,
    is_draining: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    callers: tokio::task::JoinHandle<()>,
    _peers: TcpListener,
}

impl Host {
    /// Binds all ports and starts all parts.
    pub(crate) async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let callers = bind("listen.callers", settings.listen.callers).await?;
        let peers = bind("listen.peers", settings.listen.peers).await?;
        let status = bind("listen.status", settings.listen.status).await?;
        info!(
            "daemon: host {} serves callers on {}, peers on {}, status on {}",
            settings.host,
            callers.local_addr()?,
            peers.local_addr()?,
            status.local_addr()?
        );
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let board = Arc::new(Board::new());
        let platform: Arc<dyn Platform> = Arc::new(HttpPlatform::new(
            HttpClient::new(settings.platform.address),
            Duration::from_millis(settings.platform.timeout_ms),
        ));
        let upstreams = Arc::new(UpstreamRegistry::new(Arc::clone(&board)));
        let map: Arc<dyn HomeMap> = Arc::new(OwnHomes {
            board: Arc::clone(&board),
            host: settings.host.clone(),
            domain: settings.failure_domain.clone(),
        });
        let waiters = Arc::new(GrantWaiters::default());
        let desk = Arc::new(HomeDesk::new(HomeDeskParts {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            board: Arc::clone(&board),
            peers: Arc::new(NoPeers),
            map: Arc::clone(&map),
            upstreams: Arc::clone(&upstreams) as _,
            waiters: Arc::clone(&waiters),
            policy: settings.policy,
        }));
        let granter = Arc::new(HomeGranter::new(HomeGranterParts {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            peers: Arc::new(NoPeers),
            map: Arc::clone(&map),
            desk: Arc::clone(&desk),
            waiters,
            policy: settings.policy,
        }));
        let parts = Arc::new(EntryParts {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            board: Arc::clone(&board),
            granter: Arc::clone(&granter) as _,
            claims: Arc::new(NoClaims),
            upstreams: Arc::clone(&upstreams) as _,
            bodies: BodyMemory::new(settings.body_memory_size),
            in_flight: InFlight::default(),
            poison: Mutex::new(PoisonList::new()),
            poison_spread: Arc::new(NoSpread),
            retries: Mutex::new(IndexMap::new()),
            metrics: Arc::new(Metrics::new()?),
            explanations: Arc::new(Explanations::new(Arc::clone(&clock), Bounds::default())),
        });
        let is_draining = Arc::new(AtomicBool::new(false));
        let pages = HostPages {
            parts: Arc::clone(&parts),
            desk: Arc::clone(&desk),
            is_draining: Arc::clone(&is_draining),
        };
        tokio::spawn(status_server::serve(Arc::new(pages), status));
        let deployment = settings.deployment.clone();
        tokio::spawn(manifest_loop::keep(
            Arc::clone(&board),
            Arc::clone(&platform),
            deployment,
        ));
        tokio::spawn(keep_machines(Arc::clone(&board), Arc::clone(&platform)));
        tokio::spawn(poll::keep(Arc::clone(&desk), Arc::clone(&map), upstreams));
        tokio::spawn(keep_homes(Arc::clone(&desk)));
        tokio::spawn(keep_announcing(granter));
        let (stop, stopped) = watch::channel(false);
        let callers = tokio::spawn(serve_callers(Arc::clone(&parts), callers, stopped));
        Ok(Self {
            settings,
            parts,
            desk,
            is_draining,
            stop,
            callers,
            _peers: peers,
        })
    }

    /// Fails readiness, takes new work until the balancer has had time to see it, hands the homes
    /// over, and waits until every request has ended.
    pub(crate) async fn drain(self) {
        self.is_draining.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(self.settings.drain.notice_ms)).await;
        self.parts.in_flight.close();
        self.desk.hand_over();
        self.parts.in_flight.empty().await;
        // Whoever waits for a channel that is gone takes it for stopped.
        self.stop.send_replace(true);
        if let Err(err) = self.callers.await {
            warn!("daemon: the callers' port broke down: {err}");
        }
    }
}

async fn bind(field: &'static str, addr: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| DaemonError::Bind {
        field,
        addr,
        source,
    })
}

async fn keep_machines(board: Arc<Board>, platform: Arc<dyn Platform>) {
    loop {
        match platform.list(Kind::Machines).await {
            Ok(list) => machine_list::take_in(&board, &list.items),
            Err(err) => warn!("platform: no list of machines: {err}"),
        }
        sleep(MACHINES_PAUSE).await;
    }
}

async fn keep_homes(desk: Arc<HomeDesk>) {
    loop {
        sleep(REFRESH_PAUSE).await;
        desk.refresh();
    }
}

async fn keep_announcing(granter: Arc<HomeGranter>) {
    loop {
        sleep(ANNOUNCE_PAUSE).await;
        granter.announce();
    }
}

struct HostPages {
    parts: Arc<EntryParts>,
    desk: Arc<HomeDesk>,
    is_draining: Arc<AtomicBool>,
}

impl Pages for HostPages {
    fn page(&self, path: &str) -> Option<Page> {
        match path {
            "/livez" => Some(Page::text(StatusCode::OK, "live\n")),
            "/readyz" => Some(self.ready()),
            "/status" => Some(self.status()),
            "/metrics" => Some(self.metrics()),
            _ => path.strip_prefix("/explain/").map(|id| self.explain(id)),
        }
    }
}

impl HostPages {
    fn ready(&self) -> Page {
        if self.is_draining.load(Ordering::SeqCst) {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
        }
        if self.parts.board.manifest().is_none() {
            return Page::text(StatusCode::SERVICE_UNAVAILABLE, "no manifest yet\n");
        }
        Page::text(StatusCode::OK, "ready\n")
    }

    fn metrics(&self) -> Page {
        match self.parts.metrics.render() {
            Ok(text) => Page::text(StatusCode::OK, text),
            Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    fn explain(&self, id: &str) -> Page {
        let request: RequestId = match id.parse() {
            Ok(request) => request,
            Err(err) => return Page::text(StatusCode::BAD_REQUEST, format!("{err}\n")),
        };
        let Some(explanation) = self.parts.explanations.get(request) else {
            let why = "this host knows nothing of the request, or no longer\n";
            return Page::text(StatusCode::NOT_FOUND, why);
        };
        match serde_json::to_string(&explanation) {
            Ok(text) => Page::json(StatusCode::OK, text + "\n"),
            Err(err) => Page::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{err}\n")),
        }
    }

    fn status(&self) -> Page {
        let generation = self
            .parts
            .board
            .manifest()
            .map(|in_force| in_force.generation);
        let pools: Vec<String> = self
            .desk
            .pools()
            .into_iter()
            .map(|(pool, _)| pool.to_string())
            .collect();
        let status = serde_json::json!({
            "host": self.parts.host,
            "generation": generation,
            "in_flight": self.parts.in_flight.count(),
            "upstreams": self.parts.board.upstreams.len(),
            "homes": pools,
        });
        Page::json(StatusCode::OK, format!("{status}\n"))
    }
}

struct NoClaims;

impl ClaimDesk for NoClaims {
    fn claim(&self, _: ClaimWanted) -> BoxFuture<'_, ClaimAnswer> {
        async {
            ClaimAnswer::Unavailable {
                retry_after: Duration::from_secs(1),
            }
        }
        .boxed()
    }

    fn give_back(&self, _: ClaimWanted) -> BoxFuture<'_, ()> {
        async {}.boxed()
    }

    fn finish(&self, _: ClaimWanted) {}
}

struct NoSpread;

impl PoisonSpread for NoSpread {
    fn spread(&self, _: &Poison) {}
}
