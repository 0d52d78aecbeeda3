//! How a starting host finds the host from which it gets the platform's lists.
//!
//! Load: all hosts of a fleet start at the same moment and know no other host. If each reads the
//! lists of a thousand hosts and a thousand upstreams itself, the calls grow with the fleet and the
//! bytes with its square, over the one link of the platform. So each failure domain has an entry in
//! the platform that names one host, its starting reader, and the first host that writes the entry
//! is that host. All others get the lists from it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::units::BoundedTime;
use crate::units::HostId;
use crate::units::Millicores;
use crate::units::ObjectVersion;

/// How long the host with the least processor capacity waits before it claims the entry of its
/// failure domain, so that a stronger host, whose link is usually faster, claims it first.
const CLAIM_DELAY_MAX: Duration = Duration::from_millis(300);
/// The processor capacity from which on a host claims the entry without a delay.
const CLAIM_AT_ONCE: Millicores = Millicores(1_000);
/// The pause after the first failed call. It doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(1);
/// The requests without a response after which a host counts as lost.
const REQUESTS_MAX: u32 = 2;

/// The entry of a failure domain in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderEntry {
    /// The host that reads the platform for hosts that start.
    pub host: HostId,
    /// The address at which other hosts request lists from it.
    pub addr: SocketAddr,
    /// The version of the entry, which a claim replaces.
    pub version: ObjectVersion,
}

/// What a starting host does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Read the entry of the failure domain. The response may be seconds old.
    Look,
    /// Do nothing for this time.
    Wait(Duration),
    /// Write this host into the entry, unless the entry has changed from this version; none if
    /// there was no entry.
    Claim(Option<ObjectVersion>),
    /// Find out whether the host that the entry names responds.
    Request(ReaderEntry),
    /// The search has ended, unless the host that was found turns out to have no lists.
    Found(StartingReader),
}

/// The host from which a starting host gets the lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartingReader {
    /// This host itself, which reads the platform.
    Own,
    /// Another host.
    Other(ReaderEntry),
}

/// The search of one starting host, from its start until it is found out which host reads.
#[derive(Clone, Debug)]
pub struct ReaderSearch {
    own: HostId,
    own_addr: SocketAddr,
    claim_delay: Duration,
    /// Failed calls in a row.
    failures: u32,
    /// Requests to the host in the entry that got no response.
    unanswered: u32,
    /// The steps that are still due, the last one first.
    due: Vec<SearchStep>,
}

impl ReaderSearch {
    /// The search of a host that has just started.
    pub fn new(own: HostId, own_addr: SocketAddr, processors: Millicores) -> Self {
        let missing = CLAIM_AT_ONCE.0.saturating_sub(processors.0);
        Self {
            own,
            own_addr,
            claim_delay: CLAIM_DELAY_MAX.scaled(f64::from(missing) / f64::from(CLAIM_AT_ONCE.0)),
            failures: 0,
            unanswered: 0,
            due: vec![SearchStep::Look],
        }
    }

    /// The next step. A wait is over when this is called again; the result of any other step is to
    /// be recorded first.
    pub fn next_step(&mut self) -> SearchStep {
        match self.due.pop() {
            Some(found @ SearchStep::Found(_)) => {
                self.due.push(found.clone());
                found
            }
            Some(step) => step,
            None => SearchStep::Look,
        }
    }

    /// Records the entry that was read; none if there is none.
    pub fn on_looked(&mut self, entry: Option<ReaderEntry>) {
        self.failures = 0;
        match entry {
            None => self.claim(None),
            Some(entry) => self.on_entry(entry),
        }
    }

    /// Records the entry after a claim: that of this host, or of one that was faster.
    pub fn on_claimed(&mut self, entry: ReaderEntry) {
        self.failures = 0;
        self.on_entry(entry);
    }

    /// Records whether the host in an entry responded to a request.
    pub fn on_requested(&mut self, entry: ReaderEntry, has_responded: bool) {
        if has_responded {
            self.found(StartingReader::Other(entry));
            return;
        }
        self.unanswered += 1;
        if self.unanswered < REQUESTS_MAX {
            self.due.push(SearchStep::Request(entry));
        } else {
            self.unanswered = 0;
            self.claim(Some(entry.version));
        }
    }

    /// Records that the host that was found responds, and has had no lists for too long. It is
    /// replaced, unless another host has done so.
    pub fn on_stale(&mut self, entry: &ReaderEntry) {
        self.claim(Some(entry.version));
    }

    /// Records that a call to the platform failed. A claim may have been written.
    pub fn on_failed(&mut self) {
        let pause = RETRY_PAUSE.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.due = vec![
            SearchStep::Look,
            SearchStep::Wait(pause.min(RETRY_PAUSE_MAX)),
        ];
    }

    fn on_entry(&mut self, entry: ReaderEntry) {
        if entry.host != self.own {
            self.due.push(SearchStep::Request(entry));
        } else if entry.addr == self.own_addr {
            self.found(StartingReader::Own);
        } else {
            self.due.push(SearchStep::Claim(Some(entry.version)));
        }
    }

    fn claim(&mut self, replaces: Option<ObjectVersion>) {
        self.due = vec![SearchStep::Claim(replaces)];
        if !self.claim_delay.is_zero() {
            self.due.push(SearchStep::Wait(self.claim_delay));
        }
    }

    fn found(&mut self, reader: StartingReader) {
        self.due = vec![SearchStep::Found(reader)];
    }
}
