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
use crate::units::HostId;
use crate::units::ObjectVersion;

/// A question inside a failure domain takes a millisecond or two, also to a busy host some ten.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// An answer about lists that were read longer ago is not used: this host then reads for itself and
/// is no worse off than without the other. Two intervals of a reader.
pub(crate) const ANSWER_AGE_MAX: Duration = Duration::from_millis(1_200);

/// Hosts that are asked before this one reads for itself.
const READERS_TRIED_MAX: usize = 2;

/// What came of one read.
pub(crate) struct Read<T> {
    /// What was read; none if it is what is known already.
    pub(crate) changed: Option<T>,
    /// When, since boot, it was certainly the newest.
    pub(crate) proved_at: Duration,
}

/// Whom a read asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// The host that reads for this failure domain; the platform if that is this host or if none answers.
    Any,
    /// Other hosts alone: this host is not due to ask the platform.
    Others,
    /// The platform.
    Platform,
}

/// Why a read gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The platform was asked.
    Catalog(CatalogError),
    /// Other hosts have nothing fresh; the platform was not asked.
    OthersStale,
}

impl From<CatalogError> for ReadError {
    fn from(err: CatalogError) -> Self {
        Self::Catalog(err)
    }
}

/// What came of asking other hosts.
enum Asked {
    /// One has a fresh answer, which was the newest at this time since boot.
    Fresh(Answer, Duration),
    /// Those that answered have nothing fresh.
    Stale,
    /// There is none to ask, or none that answers.
    Nobody,
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
    pub(crate) async fn routes(&mut self, way: Way) -> Result<Read<String>, ReadError> {
        let (known, _) = self.gateway.held.versions();
        let asked = self.ask_others(way, List::Routes, known).await?;
        let Some((answer, proved_at)) = asked else {
            return self.routes_of_platform(known).await;
        };
        let held = &self.gateway.held;
        // An older version from a host that is a little behind proves the newer one as well.
        if answer.version <= known {
            held.renew_routes(proved_at);
            return Ok(Read {
                changed: None,
                proved_at,
            });
        }
        let text = answer.routes;
        held.put_routes(answer.version, text.clone(), proved_at);
        Ok(Read {
            changed: Some(text),
            proved_at,
        })
    }

    async fn routes_of_platform(&self, known: u64) -> Result<Read<String>, ReadError> {
        // Before the question: what the answer shows is true at some moment after it.
        let proved_at = self.gateway.clock.since_boot();
        let known = (known != 0).then_some(ObjectVersion(known));
        let read = self.catalog.routes(known).await;
        let held = &self.gateway.held;
        let changed = match self.seen(read)? {
            RoutesRead::Unchanged => {
                held.renew_routes(proved_at);
                None
            }
            RoutesRead::Changed { version, text } => {
                held.put_routes(version.0, text.clone(), proved_at);
                Some(text)
            }
        };
        Ok(Read { changed, proved_at })
    }

    /// Reads the upstreams into what is held. Returns whether they have changed.
    pub(crate) async fn upstreams(&mut self, way: Way) -> Result<bool, ReadError> {
        let (_, known) = self.gateway.held.versions();
        let asked = self.ask_others(way, List::Upstreams, known).await?;
        let Some((answer, proved_at)) = asked else {
            return self.upstreams_of_platform().await;
        };
        let held = &self.gateway.held;
        if answer.version == known {
            held.renew_upstreams(proved_at);
            return Ok(false);
        }
        // What this host has read itself may be newer: an upstream that it knows to leave must not come
        // back.
        if held.upstreams_proved_at() >= Some(proved_at) {
            return Ok(false);
        }
        let listed = answer.upstreams.iter().filter_map(UpstreamEntry::listed);
        let listed: Vec<_> = listed.collect();
        Ok(held.put_upstreams(&listed, proved_at))
    }

    async fn upstreams_of_platform(&self) -> Result<bool, ReadError> {
        let asked_at = self.gateway.clock.since_boot();
        let read = self.catalog.upstreams().await;
        let listed = self.seen(read)?;
        Ok(self.gateway.held.put_upstreams(&listed, asked_at))
    }

    /// Takes in whether this host itself reaches the platform.
    fn seen<T>(&self, read: Result<T, CatalogError>) -> Result<T, CatalogError> {
        let own = &self.gateway.conf.host;
        match &read {
            Ok(_) => {
                let now = self.gateway.clock.now();
                self.gateway.readers.on_reached(own, now);
            }
            Err(_) => self.on_unfit(own),
        }
        read
    }

    fn on_unfit(&self, host: &HostId) {
        let now = self.gateway.clock.now();
        self.gateway.readers.on_unfit(host, now);
    }

    /// What another host has of a list; none if the platform is to be asked.
    async fn ask_others(
        &mut self,
        way: Way,
        list: List,
        known_version: u64,
    ) -> Result<Option<(Answer, Duration)>, ReadError> {
        if way == Way::Platform {
            return Ok(None);
        }
        match self.ask_readers(list, known_version).await {
            Asked::Fresh(answer, proved_at) => Ok(Some((answer, proved_at))),
            Asked::Stale => Err(ReadError::OthersStale),
            Asked::Nobody if way == Way::Others => Err(ReadError::OthersStale),
            Asked::Nobody => Ok(None),
        }
    }

    /// Asks the host that reads for this failure domain, and the next one if it has no fresh answer.
    async fn ask_readers(&mut self, list: List, known_version: u64) -> Asked {
        // A host with nothing yet asks only those that it has heard: a dead one costs it time in which it
        // can't serve.
        let trusts_list = known_version != 0;
        let mut asked = Asked::Nobody;
        for _ in 0..READERS_TRIED_MAX {
            let Some(reader) = self.gateway.readers.choose(&self.gateway, trusts_list) else {
                // The others have nothing fresh, so it is this host's turn.
                return Asked::Nobody;
            };
            asked = self.ask(reader.exchange_addr, list, known_version).await;
            if matches!(asked, Asked::Fresh(..)) {
                return asked;
            }
            self.on_unfit(&reader.host);
        }
        asked
    }

    async fn ask(&mut self, addr: SocketAddr, list: List, known_version: u64) -> Asked {
        let asked_at = self.gateway.clock.since_boot();
        let ask = Ask {
            list: list.into(),
            known_version,
        };
        let asked = timeout(ASK_TIMEOUT, self.exchange(addr, &ask)).await;
        let Ok(Some(answer)) = asked else {
            debug!("share: {addr} does not answer");
            self.link = None;
            return Asked::Nobody;
        };
        let age = Duration::from_millis(answer.age_ms);
        if answer.version == 0 || age > ANSWER_AGE_MAX {
            return Asked::Stale;
        }
        // The age was taken after the question was asked here, so this errs to the safe side.
        Asked::Fresh(answer, asked_at.saturating_sub(age))
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
