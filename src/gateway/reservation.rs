//! Memory of several engines for one prompt, from the order to its end.
//!
//! An engine frees what was set aside when the time of the order has passed, not when the request
//! ends. So a reservation is short and is renewed while the request lasts: if this host dies, the
//! engines have their memory back within [`HOLD`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::gateway::EngineClientError;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::HelperAddr;
use crate::gateway::ListedUpstream;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// How long an engine keeps memory after the last order. Engines' memory must not stay unused for
/// 4 s after a request's end.
const HOLD: Duration = Duration::from_millis(3_400);
/// Between two orders that renew it: two may be lost before the memory is.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_100);
/// Orders that give memory back, in all; beyond it the memory lapses.
const RELEASES_MAX: u32 = 3;
/// Between two of them.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// One engine's part.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) id: UpstreamId,
    pub(crate) engine: SocketAddr,
    pub(crate) name: String,
    pub(crate) tokens: Tokens,
}

impl Part {
    pub(crate) fn new(engine: &ListedUpstream, tokens: Tokens) -> Self {
        let name = format!("b{:016x}", rand::random::<u64>());
        Self {
            id: engine.id.clone(),
            engine: engine.addr,
            name,
            tokens,
        }
    }

    pub(crate) fn helper(&self) -> HelperAddr {
        HelperAddr {
            addr: self.engine,
            reservation: Some(self.name.clone()),
        }
    }
}

/// Memory that is set aside until this is dropped.
pub(crate) struct Reservation {
    gateway: Arc<Gateway>,
    parts: Vec<Part>,
    renewing: Option<JoinHandle<()>>,
}

impl Reservation {
    /// Sets all parts aside or none; then it returns those that were refused.
    pub(crate) async fn make(
        gateway: &Arc<Gateway>,
        request: &str,
        parts: Vec<Part>,
    ) -> Result<Self, Vec<Part>> {
        // From here on a drop gives back whatever was set aside, also where an order's answer was
        // lost or this future is dropped in the middle.
        let mut reservation = Self {
            gateway: Arc::clone(gateway),
            parts,
            renewing: None,
        };
        let orders = reservation.parts.iter().map(|part| reserve(gateway, part));
        let made = join_all(orders).await;
        let mut refused = Vec::new();
        for (part, made) in reservation.parts.iter().zip(made) {
            if let Err(err) = made {
                gateway.log.note(Event::ReservationRefused {
                    request: request.to_owned(),
                    error: err.to_string(),
                });
                refused.push(part.clone());
            }
        }
        if !refused.is_empty() {
            return Err(refused);
        }
        let renewing = renew(Arc::clone(gateway), reservation.parts.clone());
        reservation.renewing = Some(tokio::spawn(renewing));
        Ok(reservation)
    }
}

impl Reservation {
    /// What is set aside where.
    pub(crate) fn parts(&self) -> &[Part] {
        &self.parts
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(renewing) = &self.renewing {
            renewing.abort();
        }
        // Without a runtime the process is ending, and the memory lapses by itself.
        if let Ok(runtime) = Handle::try_current() {
            for part in self.parts.drain(..) {
                runtime.spawn(release(Arc::clone(&self.gateway), part));
            }
        }
    }
}

async fn reserve(gateway: &Gateway, part: &Part) -> Result<(), EngineClientError> {
    let orders = &gateway.orders;
    orders
        .reserve(part.engine, &part.name, part.tokens, HOLD)
        .await
}

/// Renews all parts, the leader's first and the others only if it answers. A leader that lost its
/// power leaves its connections open, and this host goes on waiting for it: if the others' parts were
/// renewed meanwhile, their memory would stay set aside for a request that is long over.
async fn renew(gateway: Arc<Gateway>, parts: Vec<Part>) {
    let Some((leader, others)) = parts.split_first() else {
        return;
    };
    loop {
        sleep(RENEW_INTERVAL).await;
        if let Err(err) = reserve(&gateway, leader).await {
            log::warn!("reservation: the leader does not renew: {err}");
            continue;
        }
        for renewed in join_all(others.iter().map(|part| reserve(&gateway, part))).await {
            if let Err(err) = renewed {
                log::warn!("reservation: not renewed: {err}");
            }
        }
    }
}

async fn release(gateway: Arc<Gateway>, part: Part) {
    for _ in 0..RELEASES_MAX {
        match gateway.orders.release(part.engine, &part.name).await {
            Ok(()) => return,
            // The engine does not know it: it has lapsed or was never made.
            Err(EngineClientError::Refused(_)) => return,
            Err(EngineClientError::NoAnswer(why)) => {
                log::warn!("reservation: not released: {why}");
                sleep(RELEASE_PAUSE).await;
            }
        }
    }
}
