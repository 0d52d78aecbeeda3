//! Sends and receives.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use log::warn;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::udp::UdpFramed;

use crate::exchange::Fleet;
use crate::exchange::HostUpdate;
use crate::exchange::ListedHost;
use crate::exchange::Need;
use crate::exchange::Outgoing;
use crate::exchange::UpdateCodec;
use crate::exchange::UpdateRoute;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// What is told and heard.
pub trait ExchangeHandler: Send + Sync {
    /// This host.
    fn host(&self) -> HostId;

    /// Its failure domain.
    fn domain(&self) -> FailureDomainId;

    /// What to tell the other hosts now.
    fn local_update(&self) -> HostUpdate;

    /// Takes in what another host tells.
    fn on_update(&self, news: HostUpdate);

    /// All hosts, this one included.
    fn hosts(&self) -> Arc<Vec<ListedHost>>;

    /// Takes in by which way news come from now on.
    fn on_update_route(&self, route: UpdateRoute);

    /// Notified at each change of what [`ExchangeHandler::local_update`] would say.
    fn change_notify(&self) -> &Notify;

    /// Notified at a change that can't wait for this host's turn.
    fn urgent_change_notify(&self) -> &Notify;
}

/// The task that exchanges news over one socket.
pub struct Exchange {
    desk: Arc<dyn ExchangeHandler>,
    framed: UdpFramed<UpdateCodec>,
    fleet: Fleet,
    route: UpdateRoute,
}

impl Exchange {
    /// Exchanges news over a socket.
    pub fn new(socket: UdpSocket, desk: Arc<dyn ExchangeHandler>) -> Self {
        let fleet = Fleet::new(desk.host(), desk.domain(), now());
        Self {
            desk,
            framed: UdpFramed::new(socket, UpdateCodec),
            fleet,
            route: UpdateRoute::default(),
        }
    }

    /// Exchanges news for as long as the process runs.
    pub async fn run(mut self) {
        let desk = Arc::clone(&self.desk);
        loop {
            self.fleet.set_hosts(&desk.hosts(), now());
            let due_at = Instant::from_std(self.fleet.due_at());
            tokio::select! {
                () = sleep_until(due_at) => self.speak().await,
                () = desk.change_notify().notified() => self.fleet.on_need(Need::Change),
                () = desk.urgent_change_notify().notified() => self.fleet.on_need(Need::UrgentChange),
                heard = self.framed.next() => match heard {
                    Some(Ok((news, _))) => self.hear(news).await,
                    Some(Err(err)) => warn!("exchange: {err}"),
                    None => return,
                },
            }
        }
    }

    async fn speak(&mut self) {
        let desk = Arc::clone(&self.desk);
        let messages = self.fleet.speak(|| desk.local_update(), now());
        for outgoing in messages {
            self.send(outgoing).await;
        }
        let route = self.fleet.route(now());
        if route != self.route {
            self.route = route.clone();
            self.desk.on_update_route(route);
        }
    }

    async fn hear(&mut self, news: HostUpdate) {
        let (heard, on) = self.fleet.hear(news, now());
        for news in heard {
            self.desk.on_update(news);
        }
        if let Some(outgoing) = on {
            self.send(outgoing).await;
        }
    }

    async fn send(&mut self, outgoing: Outgoing) {
        // Encoded once for all receivers.
        let message = Bytes::from(outgoing.news.encode_to_vec());
        for to in outgoing.to {
            if let Err(err) = self.framed.send((message.clone(), to)).await {
                debug!("exchange: {to}: {err}");
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
