//! Upstreams that end some time after a request which crashes them has arrived, however its call has
//! ended by then, and are started again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use super::catalog::FakeCatalog;
use super::upstream::Arrival;
use super::upstream::event;
use super::upstream::read_request;

/// How long an upstream that has ended is away.
const RESTARTED_AFTER: Duration = Duration::from_millis(1_500);

/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What the upstream sends to a request that crashes it, before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastAnswer {
    /// A complete answer with status 200.
    Success,
    /// A complete answer with status 500.
    Failure,
    /// A complete answer to another request.
    ToOther,
    /// Nothing.
    Nothing,
}

/// What crashes an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub answer: LastAnswer,
    /// How long after the arrival of the request the upstream ends.
    pub ends_after: Duration,
}

/// The arrival of a request that crashes upstreams.
#[derive(Clone, Debug)]
pub struct BadArrival {
    pub path: String,
    pub at: Instant,
}

/// An upstream with the name under which it is listed.
#[derive(Clone)]
pub struct CrashingUpstream {
    name: String,
    addr: SocketAddr,
    crash: Crash,
    catalog: Arc<FakeCatalog>,
    /// The number of times that the upstream has ended.
    ends: Arc<watch::Sender<u64>>,
    arrivals: Arc<Mutex<Vec<BadArrival>>>,
}

impl CrashingUpstream {
    /// Starts and lists an upstream that the requests `is_bad` crash, by their heads.
    pub async fn start(
        catalog: &Arc<FakeCatalog>,
        name: &str,
        service: &str,
        crash: Crash,
        is_bad: fn(&Arrival) -> bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            crash,
            catalog: Arc::clone(catalog),
            ends: Arc::new(watch::Sender::new(0)),
            arrivals: Arc::default(),
        };
        catalog.list(name, service, upstream.addr);
        tokio::spawn(upstream.clone().run(listener, is_bad));
        upstream
    }

    /// The arrivals of requests that crash it.
    pub fn bad_arrivals(&self) -> Vec<BadArrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Serves until the upstream ends, and starts it again on the same port, for good.
    async fn run(self, mut listener: TcpListener, is_bad: fn(&Arrival) -> bool) {
        loop {
            let mut ends = self.ends.subscribe();
            loop {
                tokio::select! {
                    biased;
                    _ = ends.changed() => break,
                    accepted = listener.accept() => {
                        let serving = self.clone().serve(accepted.unwrap().0, is_bad);
                        tokio::spawn(until_end(serving, ends.clone()));
                    }
                }
            }
            drop(listener);
            // Refuses connections, and keeps the port from other tests.
            let reserved = TcpSocket::new_v4().unwrap();
            reserved.set_reuseaddr(true).unwrap();
            reserved.bind(self.addr).unwrap();
            sleep(RESTARTED_AFTER).await;
            listener = reserved.listen(BACKLOG).unwrap();
            let started = *self.ends.borrow();
            self.catalog.restart(&self.name, started);
        }
    }

    async fn serve(self, mut stream: TcpStream, is_bad: fn(&Arrival) -> bool) {
        // The kernel resets the connection if the upstream ends under it.
        #[allow(deprecated)]
        stream.set_linger(Some(Duration::ZERO)).unwrap();
        let Some(arrival) = read_request(&mut stream).await else {
            return;
        };
        let is_bad = is_bad(&arrival);
        if is_bad {
            self.arrivals.lock().unwrap().push(BadArrival {
                path: arrival.path().to_owned(),
                at: arrival.at,
            });
            tokio::spawn(self.clone().crash());
        }
        let answer = if is_bad {
            self.crash.answer
        } else {
            LastAnswer::Success
        };
        if answer == LastAnswer::Nothing {
            sleep(self.crash.ends_after * 2).await;
            return;
        }
        let _ = stream.write_all(text(&arrival, answer).as_bytes()).await;
        #[allow(deprecated)]
        stream.set_linger(None).unwrap();
        let _ = stream.shutdown().await;
    }

    /// Ends the upstream later, unless it has ended by then.
    async fn crash(self) {
        let before = *self.ends.borrow();
        sleep(self.crash.ends_after).await;
        self.ends.send_if_modified(|ends| {
            let is_up = *ends == before;
            *ends += u64::from(is_up);
            is_up
        });
    }
}

/// Drops the future at the end of the upstream, and with it the connection.
async fn until_end(serving: impl Future<Output = ()>, mut ends: watch::Receiver<u64>) {
    tokio::select! {
        () = serving => {}
        _ = ends.changed() => {}
    }
}

/// The answer to a request: three events, on all routes.
fn text(arrival: &Arrival, answer: LastAnswer) -> String {
    let request = match answer {
        LastAnswer::ToOther => "other",
        _ => arrival.header("test-request").unwrap_or_default(),
    };
    let status = match answer {
        LastAnswer::Failure => 500,
        _ => 200,
    };
    let body: String = (1..=3).map(event).collect();
    let len = body.len();
    format!(
        "HTTP/1.1 {status} X\r\ntest-request: {request}\r\ntest-signature: s\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}
