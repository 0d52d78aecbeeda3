//! Sends and receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use log::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::udp::UdpFramed;

use crate::exchange::HostNews;
use crate::exchange::NewsCodec;

/// The shortest time between two messages. Two hosts that decide within it can choose the same
/// upstream; the engines' passes, which take longer, even that out.
const INTERVAL_MIN: Duration = Duration::from_millis(10);
/// What each further host adds to the interval, so that a host of a large fleet receives at most
/// 400 messages a second, some hundredths of a core.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(2_500);
/// A message is due this often even if nothing has changed; silence tells the others that a host is
/// gone.
const INTERVAL_IDLE: Duration = Duration::from_millis(250);
/// The longest interval of a large fleet. Beyond it the others would take a host for gone that only
/// waits for its turn; from 200 hosts on the messages grow with the fleet again.
const INTERVAL_MAX: Duration = Duration::from_millis(500);

/// What is told and heard.
pub trait NewsDesk: Send + Sync {
    /// What to tell the other hosts now.
    fn news(&self) -> HostNews;

    /// Takes in what another host tells.
    fn hear(&self, news: HostNews);

    /// The other hosts' addresses.
    fn peers(&self) -> Vec<SocketAddr>;

    /// Notified at each change of what [`NewsDesk::news`] would say.
    fn changed(&self) -> &Notify;
}

/// The task that exchanges news over one socket.
pub struct Exchange {
    desk: Arc<dyn NewsDesk>,
    framed: UdpFramed<NewsCodec>,
    told_at: Instant,
    has_changed: bool,
}

impl Exchange {
    /// Exchanges news over a socket.
    pub fn new(socket: UdpSocket, desk: Arc<dyn NewsDesk>) -> Self {
        Self {
            desk,
            framed: UdpFramed::new(socket, NewsCodec),
            told_at: Instant::now(),
            has_changed: true,
        }
    }

    /// Exchanges news for as long as the process runs.
    pub async fn run(mut self) {
        let desk = Arc::clone(&self.desk);
        loop {
            let interval = if self.has_changed {
                interval(desk.peers().len())
            } else {
                INTERVAL_IDLE
            };
            tokio::select! {
                () = sleep_until(self.told_at + interval) => self.tell().await,
                () = desk.changed().notified(), if !self.has_changed => self.has_changed = true,
                heard = self.framed.next() => match heard {
                    Some(Ok((news, _))) => desk.hear(news),
                    Some(Err(err)) => warn!("exchange: {err}"),
                    None => return,
                },
            }
        }
    }

    async fn tell(&mut self) {
        self.told_at = Instant::now();
        self.has_changed = false;
        let news = self.desk.news();
        for peer in self.desk.peers() {
            if let Err(err) = self.framed.send((&news, peer)).await {
                debug!("exchange: {peer}: {err}");
            }
        }
    }
}

fn interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    INTERVAL_PER_HOST
        .saturating_mul(peers)
        .clamp(INTERVAL_MIN, INTERVAL_MAX)
}
