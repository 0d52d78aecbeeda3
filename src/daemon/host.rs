//! Builds the components of a host and connects them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use log::info;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::cluster_view::ClusterView;
use crate::control::claims::ClaimConf;
use crate::control::claims::ClaimStore;
use crate::control::manifests::ManifestController;
use crate::control::membership::Membership;
use crate::control::membership::MembershipConf;
use crate::control::status::EventLog;
use crate::daemon::DaemonError;
use crate::daemon::drain::Drain;
use crate::daemon::loops;
use crate::daemon::manifest_loop;
use crate::daemon::membership_handler::MembershipHandler;
use crate::daemon::pages::HostPages;
use crate::daemon::poll;
use crate::daemon::status_server;
use crate::decide::PoisonList;
use crate::entry::BodyMemory;
use crate::entry::EntryContext;
use crate::entry::InFlightCounter;
use crate::entry::serve_callers;
use crate::fleet::ClusterHomeDirectory;
use crate::fleet::GrantWaiters;
use crate::fleet::HomeDirectory;
use crate::fleet::HomeGranter;
use crate::fleet::HomeGranterParts;
use crate::fleet::HomeRunner;
use crate::fleet::HomeRunnerParts;
use crate::fleet::LiveGrants;
use crate::fleet::ManifestRunner;
use crate::fleet::ManifestRunnerParts;
use crate::fleet::MembershipRunner;
use crate::fleet::PeerMessageRouter;
use crate::fleet::ReconcilerRunner;
use crate::fleet::ReconcilerRunnerParts;
use crate::fleet::RelayPlatformClient;
use crate::fleet::RelayPlatformClientParts;
use crate::fleet::UpstreamRegistry;
use crate::http::HttpClient;
use crate::objects::HttpPlatformClient;
use crate::objects::PlatformClient;
use crate::observe::ExplanationLimits;
use crate::observe::Explanations;
use crate::observe::Metrics;
use crate::peer::Keyring;
use crate::peer::PeerPool;
use crate::peer::PeerServer;
use crate::peer::SeededAddrs;
use crate::peer::Traffic;
use crate::settings::Settings;
use crate::units::Incarnation;

/// The components of a running daemon, shared by its background loops and its shutdown.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) cluster_view: Arc<ClusterView>,
    pub(crate) entry: Arc<EntryContext>,
    pub(crate) homes: Arc<HomeRunner>,
    pub(crate) home_directory: Arc<ClusterHomeDirectory>,
    pub(crate) granter: Arc<HomeGranter>,
    pub(crate) membership: Arc<MembershipRunner>,
    pub(crate) manifests: Arc<ManifestRunner>,
    pub(crate) reconciler: Arc<ReconcilerRunner>,
    pub(crate) events: Arc<EventLog>,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) addrs: Arc<SeededAddrs>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) membership_handler: Arc<MembershipHandler>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) stop_callers: watch::Sender<bool>,
}

/// The bound sockets of a host, one for each port.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    status: TcpListener,
}

impl Host {
    /// Binds all ports, builds all components and starts their background tasks.
    pub(crate) async fn start(settings: Settings) -> Result<Arc<Self>, DaemonError> {
        let listeners = Listeners::bind(&settings).await?;
        let peer_addr = listeners.peers.local_addr()?;
        info!(
            "daemon: host {} serves callers on {}, peers on {}, status on {}",
            settings.host,
            listeners.callers.local_addr()?,
            peer_addr,
            listeners.status.local_addr()?
        );
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let cluster_view = Arc::new(ClusterView::new());
        let events = Arc::new(EventLog::new(Arc::clone(&clock)));
        let traffic = Arc::new(Traffic::new(
            Arc::clone(&clock),
            settings.peers.control_bytes_per_second,
        ));
        let addrs = Arc::new(SeededAddrs::new(Arc::clone(&cluster_view)));
        addrs.add_seeds(&settings.peers.seeds);
        let peers = Arc::new(PeerPool::new(
            settings.host.clone(),
            Keyring::new(settings.peers.keys.clone()),
            Arc::clone(&addrs) as _,
            Arc::clone(&traffic),
            StdRng::from_os_rng(),
        ));
        let incarnation = first_incarnation(&*clock);
        let membership = Arc::new(MembershipRunner::new(
            Arc::clone(&clock),
            Arc::clone(&cluster_view),
            Arc::clone(&peers) as _,
            Arc::clone(&events),
            settings.host.clone(),
            Membership::new(
                MembershipConf {
                    host: settings.host.clone(),
                    domain: settings.failure_domain.clone(),
                    peer_addr,
                    incarnation,
                    bytes_per_second: settings.peers.control_bytes_per_second,
                    seeds: settings.peers.seeds.clone(),
                },
                StdRng::from_os_rng(),
                clock.now(),
            ),
        ));
        let home_directory = Arc::new(ClusterHomeDirectory::new(
            Arc::clone(&cluster_view),
            Arc::clone(&membership),
            settings.host.clone(),
            settings.failure_domain.clone(),
        ));
        let shared_directory = Arc::clone(&home_directory) as Arc<dyn HomeDirectory>;
        let upstreams = Arc::new(UpstreamRegistry::new(Arc::clone(&cluster_view)));
        let waiters = Arc::new(GrantWaiters::default());
        let live_grants = Arc::new(LiveGrants::default());
        let homes = Arc::new(HomeRunner::new(HomeRunnerParts {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            cluster_view: Arc::clone(&cluster_view),
            events: Arc::clone(&events),
            peers: Arc::clone(&peers) as _,
            home_directory: Arc::clone(&shared_directory),
            upstreams: Arc::clone(&upstreams) as _,
            waiters: Arc::clone(&waiters),
            live_grants: Arc::clone(&live_grants),
            policy: settings.policy,
        }));
        let granter = Arc::new(HomeGranter::new(HomeGranterParts {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            peers: Arc::clone(&peers) as _,
            home_directory: Arc::clone(&shared_directory),
            homes: Arc::clone(&homes),
            waiters: Arc::clone(&waiters),
            live_grants,
            policy: settings.policy,
        }));
        let direct: Arc<dyn PlatformClient> = Arc::new(HttpPlatformClient::new(
            HttpClient::new(settings.platform.address),
            Duration::from_millis(settings.platform.timeout_ms),
        ));
        let relayed: Arc<dyn PlatformClient> =
            Arc::new(RelayPlatformClient::new(RelayPlatformClientParts {
                direct: Arc::clone(&direct),
                peers: Arc::clone(&peers) as _,
                cluster_view: Arc::clone(&cluster_view),
                host: settings.host.clone(),
                domain: settings.failure_domain.clone(),
            }));
        let claims = ClaimStore::new(
            &relayed,
            &clock,
            ClaimConf::default(),
            &mut StdRng::from_os_rng(),
        );
        let entry = Arc::new(EntryContext {
            clock: Arc::clone(&clock),
            host: settings.host.clone(),
            cluster_view: Arc::clone(&cluster_view),
            granter: Arc::clone(&granter) as _,
            claims: Arc::new(claims),
            upstreams: Arc::clone(&upstreams) as _,
            policy: settings.policy,
            bodies: BodyMemory::new(settings.body_memory_size),
            in_flight: InFlightCounter::default(),
            poison: Mutex::new(PoisonList::new()),
            poison_broadcast: Arc::clone(&membership) as _,
            retry_budgets: Mutex::new(IndexMap::new()),
            metrics: Arc::new(Metrics::new()?),
            explanations: Arc::new(Explanations::new(
                Arc::clone(&clock),
                ExplanationLimits::default(),
            )),
        });
        let manifests = Arc::new(ManifestRunner::new(
            ManifestRunnerParts {
                clock: Arc::clone(&clock),
                cluster_view: Arc::clone(&cluster_view),
                events: Arc::clone(&events),
                peers: Arc::clone(&peers) as _,
                metrics: Arc::clone(&entry.metrics),
                host: settings.host.clone(),
                domain: settings.failure_domain.clone(),
            },
            ManifestController::new(
                manifest_loop::validator(settings.deployment.clone()),
                settings.peers.control_bytes_per_second,
                StdRng::from_os_rng(),
                clock.now(),
            ),
        ));
        let reconciler = Arc::new(ReconcilerRunner::new(ReconcilerRunnerParts {
            clock: Arc::clone(&clock),
            cluster_view: Arc::clone(&cluster_view),
            events: Arc::clone(&events),
            home_directory: Arc::clone(&shared_directory),
            platform: Arc::clone(&relayed),
            upstreams: Arc::clone(&upstreams) as _,
            host: settings.host.clone(),
            incarnation,
        }));
        let membership_handler = Arc::new(MembershipHandler {
            entry: Arc::clone(&entry),
            homes: Arc::clone(&homes),
            peers: Arc::clone(&peers),
            domain: settings.failure_domain.clone(),
        });
        let peer_message_router = Arc::new(PeerMessageRouter {
            clock: Arc::clone(&clock),
            homes: Arc::clone(&homes),
            granter: Arc::clone(&granter),
            waiters,
            membership: Arc::clone(&membership),
            manifests: Arc::clone(&manifests),
            membership_events: Arc::clone(&membership_handler) as _,
            platform: Arc::clone(&direct),
        });
        let peer_server = Arc::new(PeerServer::new(
            settings.host.clone(),
            Keyring::new(settings.peers.keys.clone()),
            peer_message_router,
            Arc::clone(&traffic),
            StdRng::from_os_rng(),
        ));
        let drain = Arc::new(Drain::new(&settings.drain, clock.now()));
        let (stop_callers, callers_stopped) = watch::channel(false);
        let host = Arc::new(Self {
            settings,
            clock,
            cluster_view,
            entry,
            homes,
            home_directory,
            granter,
            membership,
            manifests,
            reconciler,
            events,
            platform: relayed,
            addrs,
            traffic,
            membership_handler,
            drain,
            stop_callers,
        });
        tokio::spawn(status_server::serve(
            Arc::new(HostPages(Arc::clone(&host))),
            listeners.status,
        ));
        tokio::spawn(peer_server.serve(listeners.peers, CancellationToken::new()));
        tokio::spawn(manifest_loop::run(Arc::clone(&host)));
        tokio::spawn(poll::run(
            Arc::clone(&host.homes),
            shared_directory,
            upstreams,
        ));
        loops::start(&host);
        tokio::spawn(serve_callers(
            Arc::clone(&host.entry),
            listeners.callers,
            callers_stopped,
        ));
        Ok(host)
    }
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, DaemonError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            peers: bind("listen.peers", listen.peers).await?,
            status: bind("listen.status", listen.status).await?,
        })
    }
}

async fn bind(field: &'static str, addr: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| DaemonError::Bind {
        field,
        addr,
        source,
    })
}

/// The first incarnation of this host: the wall time in seconds since 1970, so that a restarted
/// host has a higher incarnation than before.
fn first_incarnation(clock: &dyn Clock) -> Incarnation {
    let since_epoch = clock.wall().duration_since(UNIX_EPOCH);
    Incarnation(since_epoch.map_or(1, |elapsed| elapsed.as_secs()))
}
