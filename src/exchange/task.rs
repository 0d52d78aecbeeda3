//! Sends and receives.

use std::net::SocketAddr;
use std::sync::Arc;

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
use crate::exchange::Need;
use crate::exchange::NewsCodec;
use crate::exchange::Pace;

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

    /// Notified at a change that can't wait for this host's turn.
    fn urgent(&self) -> &Notify;
}

/// The task that exchanges news over one socket.
pub struct Exchange {
    desk: Arc<dyn NewsDesk>,
    framed: UdpFramed<NewsCodec>,
    pace: Pace,
}

impl Exchange {
    /// Exchanges news over a socket.
    pub fn new(socket: UdpSocket, desk: Arc<dyn NewsDesk>) -> Self {
        Self {
            desk,
            framed: UdpFramed::new(socket, NewsCodec),
            pace: Pace::new(Instant::now().into_std()),
        }
    }

    /// Exchanges news for as long as the process runs.
    pub async fn run(mut self) {
        let desk = Arc::clone(&self.desk);
        loop {
            tokio::select! {
                () = sleep_until(self.tells_at()) => self.tell().await,
                () = desk.changed().notified(), if self.pace.need() < Need::Change => {
                    self.pace.on_need(Need::Change);
                }
                () = desk.urgent().notified(), if self.pace.need() < Need::UrgentChange => {
                    self.pace.on_need(Need::UrgentChange);
                }
                heard = self.framed.next() => match heard {
                    Some(Ok((news, _))) => desk.hear(news),
                    Some(Err(err)) => warn!("exchange: {err}"),
                    None => return,
                },
            }
        }
    }

    fn tells_at(&self) -> Instant {
        let due_at = self.pace.due_at(self.desk.peers().len());
        Instant::from_std(due_at)
    }

    async fn tell(&mut self) {
        let peers = self.desk.peers();
        self.pace.on_told(peers.len(), Instant::now().into_std());
        let news = self.desk.news();
        for peer in peers {
            if let Err(err) = self.framed.send((&news, peer)).await {
                debug!("exchange: {peer}: {err}");
            }
        }
    }
}
