//! The task that sends and receives the messages of the exchange.

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

use crate::exchange::ExchangeState;
use crate::exchange::HostUpdate;
use crate::exchange::ListedHost;
use crate::exchange::OutgoingUpdate;
use crate::exchange::SendReason;
use crate::exchange::UpdateCodec;
use crate::exchange::UpdateRoute;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// The interface through which the exchange reads the state of this host and applies updates of
/// others.
pub trait ExchangeHandler: Send + Sync {
    /// The name of this host.
    fn host(&self) -> HostId;

    /// The failure domain of this host.
    fn domain(&self) -> FailureDomainId;

    /// The complete update to send to other hosts now, not only what changed since the last call.
    fn local_update(&self) -> HostUpdate;

    /// Applies an update of another host.
    fn on_update(&self, update: HostUpdate);

    /// The current list of hosts, including this one.
    fn hosts(&self) -> Arc<Vec<ListedHost>>;

    /// Called when the route on which updates reach this host has changed.
    fn on_update_route(&self, route: UpdateRoute);

    /// Notified at each change of the result of [`ExchangeHandler::local_update`].
    fn change_notify(&self) -> &Notify;

    /// Notified at a change that must be sent before the regular interval ends.
    fn urgent_change_notify(&self) -> &Notify;
}

/// The task that exchanges updates over one socket. It holds the framed socket, the state of the
/// protocol, the route that was last announced, and the handler, which supplies this host's update
/// and host list and receives the accepted updates.
pub struct Exchange {
    handler: Arc<dyn ExchangeHandler>,
    framed: UdpFramed<UpdateCodec>,
    state: ExchangeState,
    route: UpdateRoute,
}

impl Exchange {
    /// Creates the task for a socket.
    pub fn new(socket: UdpSocket, handler: Arc<dyn ExchangeHandler>) -> Self {
        let state = ExchangeState::new(handler.host(), handler.domain(), now());
        Self {
            handler,
            framed: UdpFramed::new(socket, UpdateCodec),
            state,
            route: UpdateRoute::default(),
        }
    }

    /// Runs until the socket is closed.
    pub async fn run(mut self) {
        let handler = Arc::clone(&self.handler);
        loop {
            self.state.set_hosts(&handler.hosts(), now());
            let due_at = Instant::from_std(self.state.due_at());
            tokio::select! {
                () = sleep_until(due_at) => self.send_due().await,
                () = handler.change_notify().notified() => {
                    self.state.request_send(SendReason::Change);
                }
                () = handler.urgent_change_notify().notified() => {
                    self.state.request_send(SendReason::UrgentChange);
                }
                received = self.framed.next() => match received {
                    Some(Ok((update, _))) => self.receive(update).await,
                    Some(Err(err)) => warn!("exchange: {err}"),
                    None => return,
                },
            }
        }
    }

    async fn send_due(&mut self) {
        let handler = Arc::clone(&self.handler);
        let messages = self.state.due_messages(|| handler.local_update(), now());
        for outgoing in messages {
            self.send(outgoing).await;
        }
        let route = self.state.current_route(now());
        if route != self.route {
            self.route = route.clone();
            self.handler.on_update_route(route);
        }
    }

    async fn receive(&mut self, update: HostUpdate) {
        let (accepted, forwarded) = self.state.on_message(update, now());
        for update in accepted {
            self.handler.on_update(update);
        }
        if let Some(outgoing) = forwarded {
            self.send(outgoing).await;
        }
    }

    async fn send(&mut self, outgoing: OutgoingUpdate) {
        // Encoded once for all recipients.
        let message = Bytes::from(outgoing.update.encode_to_vec());
        for recipient in outgoing.recipients {
            if let Err(err) = self.framed.send((message.clone(), recipient)).await {
                debug!("exchange: {recipient}: {err}");
            }
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
