//! Which hosts are asked for a tunnel to an upstream, and when the upstream counts as unreachable.
//!
//! Load condition: all hosts of a failure domain, or most of a fleet, lose their connections to
//! upstreams at the same moment, and none knows it yet. Hosts of one domain often fail together, so
//! their answers count as one.

use indexmap::IndexSet;

use crate::decide::AskedHost;
use crate::decide::TunnelAnswer;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// The number of hosts that are asked for one connection.
const HOSTS_ASKED_MAX: usize = 4;
/// The number of hosts that are asked if only paused ones are left.
const PAUSED_HOSTS_ASKED_MAX: usize = 2;
/// The number of hosts, and of failure domains, that must fail to connect to an upstream before it
/// counts as unreachable.
const UNREACHABLE_MIN: usize = 2;

/// A host that may be asked for a tunnel.
#[derive(Clone, Copy, Debug)]
pub struct TunnelHost<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its failure domain.
    pub domain: &'a FailureDomainId,
    /// How often the host is chosen in comparison with others.
    pub weight: u32,
    /// Whether the host has recently provided no tunnel to the upstream.
    pub is_paused: bool,
}

/// What to do next in the search for a tunnel.
#[derive(Clone, Copy, Debug)]
pub enum TunnelStep<'a> {
    /// Ask this host, beside those that have not answered.
    Ask(TunnelHost<'a>),
    /// Wait for the answers of the hosts that were asked.
    AwaitAnswers,
    /// No host provides a tunnel.
    GiveUp,
}

/// The search for a host that provides a tunnel to one upstream.
#[derive(Clone, Debug)]
pub struct TunnelSearch {
    /// The failure domain of this host, whose hosts are asked first.
    domain: FailureDomainId,
    asked: Vec<AskedHost>,
    /// How many hosts must answer that the upstream is unreachable, by the fleet of the last step.
    unreachable_hosts_min: usize,
    /// In how many failure domains these must be, by the same.
    unreachable_domains_min: usize,
}

impl TunnelSearch {
    /// A search by a host of this failure domain.
    pub fn new(domain: FailureDomainId) -> Self {
        Self {
            domain,
            asked: Vec::new(),
            unreachable_hosts_min: UNREACHABLE_MIN,
            unreachable_domains_min: UNREACHABLE_MIN,
        }
    }

    /// Decides what to do next. `hosts` are all that may be asked, `draw` is a random number from 0
    /// to 1.
    pub fn next_step<'a>(&mut self, hosts: &[TunnelHost<'a>], draw: f64) -> TunnelStep<'a> {
        let domains: IndexSet<&FailureDomainId> = hosts.iter().map(|host| host.domain).collect();
        self.unreachable_hosts_min = UNREACHABLE_MIN.min(hosts.len());
        self.unreachable_domains_min = UNREACHABLE_MIN.min(domains.len());
        if self.is_unreachable() {
            return TunnelStep::GiveUp;
        }
        match self.choose(hosts, draw) {
            Some(host) => TunnelStep::Ask(host),
            None if self.asked.iter().any(|asked| asked.answer.is_none()) => {
                TunnelStep::AwaitAnswers
            }
            None => TunnelStep::GiveUp,
        }
    }

    /// Records that a host was asked.
    pub fn on_asked(&mut self, host: &TunnelHost<'_>) {
        let asked = AskedHost::new(host.host.clone(), host.domain.clone());
        self.asked.push(asked);
    }

    /// Records the answer of a host that provides no tunnel.
    pub fn on_answer(&mut self, host: &HostId, answer: TunnelAnswer) {
        let asked = self.asked.iter_mut().find(|asked| asked.host == *host);
        if let Some(asked) = asked {
            asked.answer = Some(answer);
        }
    }

    /// Whether enough hosts that reach other upstreams do not reach this one: several, and in
    /// several failure domains if there are.
    pub fn is_unreachable(&self) -> bool {
        let unreachable = self.asked.iter().filter(|asked| asked.is_unreachable());
        let domains: IndexSet<&FailureDomainId> =
            unreachable.clone().map(|asked| &asked.domain).collect();
        !domains.is_empty()
            && unreachable.count() >= self.unreachable_hosts_min
            && domains.len() >= self.unreachable_domains_min
    }

    /// The hosts that were asked.
    pub fn asked(&self) -> &[AskedHost] {
        &self.asked
    }

    /// The next host to ask, one at random of the best: not paused, of a failure domain in which no
    /// host was asked, of the own domain, in this order. None if enough were asked.
    fn choose<'a>(&self, hosts: &[TunnelHost<'a>], draw: f64) -> Option<TunnelHost<'a>> {
        if self.asked.len() >= HOSTS_ASKED_MAX {
            return None;
        }
        let is_asked = |host: &TunnelHost<'_>| self.asked.iter().any(|a| a.host == *host.host);
        let is_domain_asked =
            |host: &TunnelHost<'_>| self.asked.iter().any(|a| a.domain == *host.domain);
        let rank = |host: &TunnelHost<'_>| {
            let is_far = *host.domain != self.domain;
            (host.is_paused, is_domain_asked(host), is_far)
        };
        let open = hosts.iter().filter(|host| !is_asked(host));
        let best = open.clone().map(rank).min()?;
        let (is_paused, ..) = best;
        if is_paused && self.asked.len() >= PAUSED_HOSTS_ASKED_MAX {
            return None;
        }
        let best: Vec<TunnelHost<'a>> = open.filter(|host| rank(host) == best).copied().collect();
        choose_weighted(&best, draw)
    }
}

/// One of the hosts, each as often as its weight says.
fn choose_weighted<'a>(hosts: &[TunnelHost<'a>], draw: f64) -> Option<TunnelHost<'a>> {
    let weight = |host: &TunnelHost<'_>| f64::from(host.weight.max(1));
    let mut left = draw * hosts.iter().map(weight).sum::<f64>();
    let chosen = hosts.iter().find(|host| {
        left -= weight(host);
        left < 0.0
    });
    chosen.or(hosts.last()).copied()
}
