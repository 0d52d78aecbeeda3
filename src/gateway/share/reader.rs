//! Reads the platform's lists, through another host where one reads for this failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use log::debug;
use prost::Message as _;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::gateway::Catalog;
use crate::gateway::CatalogError;
use crate::gateway::Gateway;
use crate::gateway::RoutesRead;
use crate::gateway::share::message::Answer;
use crate::gateway::share::message::Ask;
use crate::gateway::share::message::List;
use crate::gateway::share::message::UpstreamEntry;
use crate::gateway::share::server::MESSAGE_SIZE_MAX;
use crate::peer::framing;
use crate::units::ObjectVersion;

/// A question inside a failure domain takes a millisecond or two, also to a busy host some ten.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// An answer about lists that were read longer ago is not used: this host then reads for itself and
/// is no worse off than without the other. Two intervals of a reader.
const ANSWER_AGE_MAX: Duration = Duration::from_millis(1_200);

/// Hosts that are asked before this one reads for itself.
const READERS_TRIED_MAX: usize = 2;

/// What came of one read.
pub(crate) struct Read<T> {
    /// What was read; none if it is what is known already.
    pub(crate) changed: Option<T>,
    /// When, since boot, it was certainly the newest.
    pub(crate) proved_at: Duration,
}

/// Reads the lists for one host.
pub(crate) struct Reader {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    link: Option<(SocketAddr, Framed<TcpStream, LengthDelimitedCodec>)>,
}

impl Reader {
    pub(crate) fn new(gateway: Arc<Gateway>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            gateway,
            catalog,
            link: None,
        }
    }

    /// Reads the manifest. Returns its text if it is another version than is held.
    pub(crate) async fn routes(&mut self) -> Result<Read<String>, CatalogError> {
        let (known, _) = self.gateway.held.versions();
        if let Some((answer, proved_at)) = self.ask_other(List::Routes, known).await {
            // An older version from a host that is a little behind proves the newer one as well.
            if answer.version <= known {
                self.gateway.held.renew_routes(proved_at);
                return Ok(Read {
                    changed: None,
                    proved_at,
                });
            }
            let text = answer.routes;
            let held = &self.gateway.held;
            held.put_routes(answer.version, text.clone(), proved_at);
            return Ok(Read {
                changed: Some(text),
                proved_at,
            });
        }
        // Before the question: what the answer shows is true at some moment after it.
        let asked_at = self.gateway.clock.since_boot();
        let known = (known != 0).then_some(ObjectVersion(known));
        let read = self.catalog.routes(known).await;
        let changed = match self.seen(read)? {
            RoutesRead::Unchanged => {
                self.gateway.held.renew_routes(asked_at);
                None
            }
            RoutesRead::Changed { version, text } => {
                self.gateway
                    .held
                    .put_routes(version.0, text.clone(), asked_at);
                Some(text)
            }
        };
        Ok(Read {
            changed,
            proved_at: asked_at,
        })
    }

    /// Reads the upstreams into what is held. Returns whether they have changed.
    pub(crate) async fn upstreams(&mut self) -> Result<bool, CatalogError> {
        let (_, known) = self.gateway.held.versions();
        if let Some((answer, proved_at)) = self.ask_other(List::Upstreams, known).await {
            // What this host has read itself may be newer: an upstream that it knows to leave
            // must not come back.
            let is_older = self.gateway.held.upstreams_proved_at() >= Some(proved_at);
            if answer.version == known || is_older {
                return Ok(false);
            }
            let listed = answer.upstreams.iter().filter_map(UpstreamEntry::listed);
            let listed: Vec<_> = listed.collect();
            return Ok(self.gateway.held.put_upstreams(&listed, proved_at));
        }
        let asked_at = self.gateway.clock.since_boot();
        let read = self.catalog.upstreams().await;
        let listed = self.seen(read)?;
        Ok(self.gateway.held.put_upstreams(&listed, asked_at))
    }

    /// Takes in whether this host itself reaches the platform.
    fn seen<T>(&self, read: Result<T, CatalogError>) -> Result<T, CatalogError> {
        if read.is_err() {
            let now = self.gateway.clock.now();
            let host = &self.gateway.conf.host;
            self.gateway.readers.on_unfit(host, now);
        }
        read
    }

    /// Asks the host that reads for this failure domain; none if that is this host, or if it has no
    /// fresh answer.
    async fn ask_other(&mut self, list: List, known_version: u64) -> Option<(Answer, Duration)> {
        // A host with nothing yet asks only those that it has heard: a dead one costs it time in which it
        // can't serve.
        let trusts_list = known_version != 0;
        for _ in 0..READERS_TRIED_MAX {
            let reader = self.gateway.readers.choose(&self.gateway, trusts_list)?;
            let read = self.ask(reader.exchange_addr, list, known_version).await;
            if read.is_some() {
                return read;
            }
            let now = self.gateway.clock.now();
            self.gateway.readers.on_unfit(&reader.host, now);
        }
        None
    }

    async fn ask(
        &mut self,
        addr: SocketAddr,
        list: List,
        known_version: u64,
    ) -> Option<(Answer, Duration)> {
        let asked_at = self.gateway.clock.since_boot();
        let ask = Ask {
            list: list.into(),
            known_version,
        };
        let asked = timeout(ASK_TIMEOUT, self.exchange(addr, &ask)).await;
        let Ok(Some(answer)) = asked else {
            debug!("share: {addr} does not answer, reads for itself");
            self.link = None;
            return None;
        };
        let age = Duration::from_millis(answer.age_ms);
        if answer.version == 0 || age > ANSWER_AGE_MAX {
            return None;
        }
        // The age was taken after the question was asked here, so this errs to the safe side.
        Some((answer, asked_at.saturating_sub(age)))
    }

    async fn exchange(&mut self, addr: SocketAddr, ask: &Ask) -> Option<Answer> {
        if self.link.as_ref().is_none_or(|(linked, _)| *linked != addr) {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            self.link = Some((addr, Framed::new(stream, framing(MESSAGE_SIZE_MAX))));
        }
        let (_, framed) = self.link.as_mut()?;
        framed.send(Bytes::from(ask.encode_to_vec())).await.ok()?;
        let frame = framed.next().await?.ok()?;
        Answer::decode(frame).ok()
    }
}
