//! The upstreams that fall silent together.

use rand::Rng;
use rand::rngs::StdRng;

use crate::call::ENGINE_SERVICE;
use crate::call::PLAIN_SERVICES;
use crate::upstream::UpstreamStandIn;

/// A share of the upstreams of a service, half of them or more.
#[derive(Clone, Copy, Debug)]
pub struct SilentShare {
    service: &'static str,
    /// The share of the upstreams, in percent.
    percent: usize,
    /// A number that is taken modulo the number of upstreams to select the first one.
    first: usize,
}

impl SilentShare {
    /// Draws a share; in half of the cases one of the engines.
    pub(crate) fn draw(rng: &mut StdRng) -> Self {
        let service = match rng.random_range(0..4) {
            0 => PLAIN_SERVICES[0],
            1 => PLAIN_SERVICES[1],
            _ => ENGINE_SERVICE,
        };
        Self::draw_of(service, rng)
    }

    /// Draws another share of the same service.
    pub(crate) fn draw_other(self, rng: &mut StdRng) -> Self {
        Self::draw_of(self.service, rng)
    }

    fn draw_of(service: &'static str, rng: &mut StdRng) -> Self {
        let is_whole = rng.random_ratio(1, 3);
        let part = rng.random_range(50..100);
        Self {
            service,
            percent: if is_whole { 100 } else { part },
            first: rng.random_range(0..1_000),
        }
    }

    /// Selects the share among all upstreams.
    pub(crate) fn select(&self, upstreams: &[UpstreamStandIn]) -> Vec<UpstreamStandIn> {
        let of_service = upstreams.iter().filter(|u| u.service == self.service);
        let mut selected: Vec<UpstreamStandIn> = of_service.cloned().collect();
        if selected.is_empty() {
            return selected;
        }
        let first = self.first % selected.len();
        selected.rotate_left(first);
        selected.truncate((selected.len() * self.percent).div_ceil(100));
        selected
    }
}
