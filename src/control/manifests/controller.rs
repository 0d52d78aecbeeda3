//! The state machine that distributes manifests.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::control::manifests::ManifestAction;
use crate::control::manifests::ManifestRefusal;
use crate::control::manifests::ManifestStatus;
use crate::control::manifests::fetch::Fetch;
use crate::control::manifests::fetch::FetchStep;
use crate::control::manifests::parts::group_into_pages;
use crate::control::manifests::parts::hashes_from_bytes;
use crate::control::manifests::parts::hashes_to_bytes;
use crate::control::manifests::parts::split_into_parts;
use crate::manifest::Manifest;
use crate::manifest::ManifestInForce;
use crate::manifest::PublishedManifest;
use crate::peer::Message;
use crate::peer::TokenBucket;
use crate::peer::message::ManifestIndex;
use crate::peer::message::ManifestNotice;
use crate::peer::message::ManifestParts;
use crate::peer::message::ManifestQuery;
use crate::peer::message::PartsRequest;
use crate::peer::wire_len;
use crate::units::ContentHash;
use crate::units::Generation;
use crate::units::HostId;

/// Parses and validates the text of a manifest; an error is the reason for refusing it.
pub type ManifestValidator = Box<dyn Fn(&str) -> Result<Manifest, String> + Send + Sync>;

/// Number of hosts that each host notifies at once when it accepts a new generation. Three reach a
/// failure domain of 67 hosts in four hops, with enough redundant notices that few hosts are
/// missed.
const NOTICE_FANOUT: usize = 3;

/// Time between queries to one random host. They repair lost notices and refresh the age of the
/// last confirmation.
const QUERY_INTERVAL: Duration = Duration::from_secs(2);

/// Time between queries to all hosts of the failure domain while this host is not ready.
const QUERY_INTERVAL_NOT_READY: Duration = Duration::from_millis(500);

/// A last confirmation older than this means that no watcher of the failure domain reaches the
/// platform. Hosts of other failure domains, which may reach the platform, are then asked too.
const CONFIRMED_AGE_MAX: Duration = Duration::from_secs(30);

/// Byte budget for a burst: one whole manifest, for a host that joins while the platform is
/// unavailable.
const BURST_BYTES: f64 = 1_250_000.0;

/// Number of parts from which on a request counts as a bulk request.
const BULK_PARTS: usize = 64;

/// A host that sent no bulk request for this long has received what it needs.
const BULK_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// The result of reading or watching the manifest at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManifestRead {
    /// This manifest is the published one.
    Published(PublishedManifest),
    /// No manifest was published since this host last read the platform.
    Unchanged,
    /// No manifest has ever been published.
    Absent,
}

/// Distributes manifests on behalf of one host. The controller does no I/O: reads of the platform
/// and messages of other hosts go in, actions come out. Generations only increase: a generation is
/// accepted only if it is above the one in force.
pub struct ManifestController {
    validate: ManifestValidator,
    rng: StdRng,
    budget: TokenBucket,
    /// The other live hosts of this failure domain.
    local_peers: Vec<HostId>,
    /// The live hosts of other failure domains.
    remote_peers: Vec<HostId>,
    in_force: Option<StoredManifest>,
    refused: Option<ManifestRefusal>,
    confirmed_at: Option<Instant>,
    /// The highest generation that the platform reported to this host: 0 if none was published,
    /// `None` if the platform reported nothing yet.
    platform_generation: Option<Generation>,
    /// The generation that each local peer reported last.
    peer_generations: IndexMap<HostId, Generation>,
    fetch: Option<Fetch>,
    /// The host that holds the reservation for bulk answers, and the time of its last bulk request.
    bulk_receiver: Option<(HostId, Instant)>,
    next_query: Instant,
}

/// The manifest in force, split into parts.
struct StoredManifest {
    generation: Generation,
    hash: ContentHash,
    /// Parts and pages by their hash.
    parts: IndexMap<ContentHash, String>,
    pages: Vec<ContentHash>,
}

impl StoredManifest {
    /// Splits a text into parts and pages and computes their hashes.
    fn new(generation: Generation, text: &str) -> Self {
        let by_hash = |part: String| (ContentHash::of(part.as_bytes()), part);
        let parts = split_into_parts(text)
            .into_iter()
            .map(str::to_owned)
            .map(by_hash);
        let parts: Vec<(ContentHash, String)> = parts.collect();
        let order: Vec<ContentHash> = parts.iter().map(|(hash, _)| *hash).collect();
        let pages: Vec<(ContentHash, String)> =
            group_into_pages(&order).into_iter().map(by_hash).collect();
        Self {
            generation,
            hash: ContentHash::of(text.as_bytes()),
            pages: pages.iter().map(|(hash, _)| *hash).collect(),
            parts: parts.into_iter().chain(pages).collect(),
        }
    }
}

impl ManifestController {
    /// A controller without a manifest.
    pub fn new(
        validate: ManifestValidator,
        bytes_per_second: u64,
        rng: StdRng,
        now: Instant,
    ) -> Self {
        Self {
            validate,
            rng,
            budget: TokenBucket::new(bytes_per_second as f64, BURST_BYTES, now),
            local_peers: Vec::new(),
            remote_peers: Vec::new(),
            in_force: None,
            refused: None,
            confirmed_at: None,
            platform_generation: None,
            peer_generations: IndexMap::new(),
            fetch: None,
            bulk_receiver: None,
            next_query: now,
        }
    }

    /// Sets the other live hosts: `local_peers` in this failure domain, `remote_peers` in others.
    /// Forgets the generations that removed local peers reported.
    pub fn set_hosts(&mut self, local_peers: Vec<HostId>, remote_peers: Vec<HostId>) {
        self.peer_generations
            .retain(|host, _| local_peers.contains(host));
        self.local_peers = local_peers;
        self.remote_peers = remote_peers;
    }

    /// Handles the result of a read or watch of the platform. Any result counts as a confirmation
    /// by the platform at `now`.
    pub fn on_platform_read(&mut self, read: ManifestRead, now: Instant) -> Vec<ManifestAction> {
        let mut actions = Vec::new();
        self.confirmed_at = Some(now);
        match read {
            ManifestRead::Published(published) => {
                // Reads can be delivered out of order.
                self.platform_generation = self.platform_generation.max(Some(published.generation));
                self.accept(published.generation, &published.text, &mut actions);
            }
            ManifestRead::Unchanged => {}
            ManifestRead::Absent => {
                self.platform_generation =
                    self.platform_generation.max(Some(Generation::default()));
            }
        }
        actions
    }

    /// Handles the generation that a host has in force, as learned through the membership. If the
    /// generation is newer and was not refused, it is fetched from that host.
    pub fn on_peer_generation(
        &mut self,
        host: &HostId,
        generation: Generation,
        now: Instant,
    ) -> Vec<ManifestAction> {
        let mut actions = Vec::new();
        if self.is_newer(generation) {
            self.add_fetch_source(host, generation);
            self.step_fetch(now, &mut actions);
        }
        actions
    }

    /// Handles a message of another host. Messages that do not concern manifests are ignored.
    pub fn handle(&mut self, from: &HostId, message: Message, now: Instant) -> Vec<ManifestAction> {
        let mut actions = Vec::new();
        match message {
            Message::ManifestNotice(notice) => self.on_notice(from, &notice, now),
            Message::ManifestQuery(query) => {
                let generation = Generation(query.generation);
                let notice = Message::ManifestNotice(self.notice_message(now));
                self.send(from, notice, now, &mut actions);
                if self.is_newer(generation) {
                    self.add_fetch_source(from, generation);
                }
            }
            Message::IndexRequest(request) => {
                if let Some(index) = self.index_message(Generation(request.generation)) {
                    self.send(from, Message::ManifestIndex(index), now, &mut actions);
                }
            }
            Message::ManifestIndex(index) => self.on_index(&index),
            Message::PartsRequest(request) => {
                self.on_parts_request(from, &request, now, &mut actions);
            }
            Message::ManifestParts(parts) => {
                if let Some(fetch) = &mut self.fetch {
                    fetch.on_parts(parts.parts);
                }
            }
            _ => {}
        }
        self.step_fetch(now, &mut actions);
        actions
    }

    /// Advances the fetch, accepts a manifest whose fetch is complete, and queries hosts for their
    /// generation when that is due. To be called about every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<ManifestAction> {
        let mut actions = Vec::new();
        self.step_fetch(now, &mut actions);
        if now >= self.next_query {
            self.send_queries(now, &mut actions);
        }
        actions
    }

    /// The state of the manifest on this host.
    pub fn status(&self, now: Instant) -> ManifestStatus {
        let why_not_ready = self.why_not_ready();
        ManifestStatus {
            generation: self.generation(),
            confirmed_ago: self.confirmed_ago(now),
            is_ready: why_not_ready.is_none(),
            why_not_ready,
            refused: self.refused.clone(),
        }
    }

    /// The generation in force; `None` if this host has no manifest.
    pub fn generation(&self) -> Option<Generation> {
        self.in_force.as_ref().map(|stored| stored.generation)
    }

    /// Why this host is not ready, or `None` if it is.
    ///
    /// The failure this guards against: a new host takes an old manifest for the newest one and
    /// applies limits and models that were changed long ago. A host therefore serves only with the
    /// generation that the platform names, or with the newest generation among most hosts of its
    /// failure domain.
    fn why_not_ready(&self) -> Option<&'static str> {
        let Some(in_force) = self.generation() else {
            return Some(match self.platform_generation {
                Some(Generation(0)) => "no manifest is published",
                Some(_) => "the published manifest was refused and no host had an earlier one",
                None => {
                    "neither the platform nor a host of this failure domain has reported a manifest"
                }
            });
        };
        let refused = self.refused.as_ref().map(|refusal| refusal.generation);
        let is_current = |newest: Generation| in_force >= newest || refused == Some(newest);
        if self.platform_generation.is_some_and(is_current) {
            return None;
        }
        let reports_min = (self.local_peers.len() / 2 + 1).min(self.local_peers.len());
        let newest = self.peer_generations.values().max().copied();
        if self.peer_generations.len() < reports_min.max(1) {
            return Some(
                "too few hosts of this failure domain have reported their manifest generation",
            );
        }
        let is_behind = !newest.is_some_and(is_current);
        is_behind.then_some("a newer manifest is being fetched")
    }

    /// Validates a newer manifest and puts it in force, which ends a running fetch and notifies
    /// some local peers. A manifest that is invalid is recorded as refused; one that is not newer
    /// is ignored.
    fn accept(&mut self, generation: Generation, text: &str, actions: &mut Vec<ManifestAction>) {
        if !self.is_newer(generation) {
            return;
        }
        let manifest = match (self.validate)(text) {
            Ok(manifest) => manifest,
            Err(why) => {
                log::warn!("manifests: refused generation {generation}: {why}");
                self.refused = Some(ManifestRefusal { generation, why });
                return;
            }
        };
        let stored = StoredManifest::new(generation, text);
        let hash = stored.hash;
        self.in_force = Some(stored);
        self.refused = None;
        self.fetch = None;
        log::info!("manifests: generation {generation} is in force");
        actions.push(ManifestAction::PutInForce(ManifestInForce {
            generation,
            hash,
            manifest,
        }));
        // These notices announce the generation before the next queries do.
        let receivers: Vec<HostId> = self
            .local_peers
            .choose_multiple(&mut self.rng, NOTICE_FANOUT)
            .cloned()
            .collect();
        for to in receivers {
            let message = Message::ManifestNotice(ManifestNotice {
                generation: generation.0,
                confirmed_ago_ms: None,
            });
            actions.push(ManifestAction::Send { to, message });
        }
    }

    /// Whether a generation is newer than the one in force and was not refused.
    fn is_newer(&self, generation: Generation) -> bool {
        let refused = self.refused.as_ref().map(|refusal| refusal.generation);
        Some(generation) > self.generation().or(Some(Generation::default()))
            && refused != Some(generation)
    }

    /// Records the generation of a local peer, takes over a later confirmation of the generation in
    /// force, and starts a fetch of a newer generation.
    fn on_notice(&mut self, from: &HostId, notice: &ManifestNotice, now: Instant) {
        let generation = Generation(notice.generation);
        if self.local_peers.contains(from) {
            self.peer_generations.insert(from.clone(), generation);
        }
        let ago = notice.confirmed_ago_ms.map(Duration::from_millis);
        let confirmed_at = ago.and_then(|ago| now.checked_sub(ago));
        if Some(generation) == self.generation() && confirmed_at > self.confirmed_at {
            self.confirmed_at = confirmed_at;
        }
        if self.is_newer(generation) {
            self.add_fetch_source(from, generation);
        }
    }

    /// Makes `host` a source for the fetch of a generation, without sending a request yet.
    ///
    /// A running fetch of the same generation gets one more holder, and a fetch of a later one is
    /// left alone. A fetch of an earlier one is replaced; the parts that it received are kept.
    fn add_fetch_source(&mut self, host: &HostId, generation: Generation) {
        if let Some(fetch) = &mut self.fetch
            && fetch.generation >= generation
        {
            if fetch.generation == generation {
                fetch.add_holder(host.clone());
            }
            return;
        }
        let stored = self.in_force.as_ref().map(|stored| stored.parts.clone());
        let mut known_parts = stored.unwrap_or_default();
        known_parts.extend(self.fetch.take().into_iter().flat_map(Fetch::into_parts));
        let mut fetch = Fetch::new(generation, known_parts);
        fetch.add_holder(host.clone());
        self.fetch = Some(fetch);
    }

    /// Performs the next step of the running fetch, if there is one.
    fn step_fetch(&mut self, now: Instant, actions: &mut Vec<ManifestAction>) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        match fetch.step(now) {
            FetchStep::Wait => {}
            FetchStep::Request { to, message } => self.send(&to, message, now, actions),
            FetchStep::ReadPlatform => actions.push(ManifestAction::ReadPlatform),
            FetchStep::Complete { generation, text } => {
                self.fetch = None;
                self.accept(generation, &text, actions);
            }
            FetchStep::HashMismatch => self.fetch = None,
        }
    }

    /// Queries some hosts for their generation, and schedules the next queries.
    fn send_queries(&mut self, now: Instant, actions: &mut Vec<ManifestAction>) {
        let is_not_ready = self.why_not_ready().is_some();
        let interval = match is_not_ready {
            true => QUERY_INTERVAL_NOT_READY,
            false => QUERY_INTERVAL,
        };
        self.next_query = now + interval;
        let count = match is_not_ready {
            true => self.local_peers.len(),
            false => 1,
        };
        let mut receivers: Vec<HostId> = self
            .local_peers
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect();
        let is_isolated = self
            .confirmed_ago(now)
            .is_none_or(|ago| ago > CONFIRMED_AGE_MAX);
        if is_isolated && self.in_force.is_some() {
            receivers.extend(self.remote_peers.choose(&mut self.rng).cloned());
        }
        let generation = self.generation().unwrap_or_default().0;
        for to in receivers {
            let message = Message::ManifestQuery(ManifestQuery { generation });
            self.send(&to, message, now, actions);
        }
    }

    /// Time since the platform last confirmed, directly or through other hosts, that there is no
    /// newer generation; `None` if it never did.
    fn confirmed_ago(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// A notice of the generation in force, or of generation 0 without one, and of the time since
    /// its last confirmation.
    fn notice_message(&self, now: Instant) -> ManifestNotice {
        let ago = self.confirmed_ago(now);
        ManifestNotice {
            generation: self.generation().unwrap_or_default().0,
            confirmed_ago_ms: ago.map(|ago| u64::try_from(ago.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// The index of the manifest in force; `None` if its generation is below `generation_min`.
    fn index_message(&self, generation_min: Generation) -> Option<ManifestIndex> {
        let stored = self
            .in_force
            .as_ref()
            .filter(|stored| stored.generation >= generation_min)?;
        Some(ManifestIndex {
            generation: stored.generation.0,
            hash: stored.hash.0.to_be_bytes().to_vec(),
            pages: hashes_to_bytes(stored.pages.iter()),
        })
    }

    /// Passes a received index to the running fetch. A malformed index is ignored.
    fn on_index(&mut self, index: &ManifestIndex) {
        let hash = hashes_from_bytes(&index.hash).and_then(|hashes| hashes.first().copied());
        let pages = hashes_from_bytes(&index.pages);
        if let (Some(hash), Some(pages), Some(fetch)) = (hash, pages, &mut self.fetch) {
            fetch.on_index(Generation(index.generation), hash, pages);
        }
    }

    /// Sends the requested parts that belong to the manifest in force. If some do not, the
    /// requester also gets a notice of the generation that this host has in force.
    fn on_parts_request(
        &mut self,
        from: &HostId,
        request: &PartsRequest,
        now: Instant,
        actions: &mut Vec<ManifestAction>,
    ) {
        let (Some(stored), Some(hashes)) = (&self.in_force, hashes_from_bytes(&request.parts))
        else {
            return;
        };
        let found = hashes
            .iter()
            .filter_map(|hash| stored.parts.get(hash).cloned());
        let parts: Vec<String> = found.collect();
        if parts.len() < hashes.len() {
            let notice = Message::ManifestNotice(self.notice_message(now));
            self.send(from, notice, now, actions);
        }
        if hashes.len() >= BULK_PARTS && !self.reserve_bulk(from, now) {
            return;
        }
        if !parts.is_empty() {
            let message = Message::ManifestParts(ManifestParts { parts });
            self.send(from, message, now, actions);
        }
    }

    /// Reserves the byte budget for bulk answers to one host; returns whether `to` holds the
    /// reservation.
    ///
    /// The failure this guards against: many hosts fetch a large manifest from the few that have
    /// it. If these shared the budget among all requesters, none would get the whole manifest soon.
    /// Served one after the other, each host that has the whole manifest can pass it on.
    fn reserve_bulk(&mut self, to: &HostId, now: Instant) -> bool {
        let is_other = |(host, at): &(HostId, Instant)| {
            host != to && now.saturating_duration_since(*at) < BULK_IDLE_TIMEOUT
        };
        if self.bulk_receiver.as_ref().is_some_and(is_other) {
            return false;
        }
        self.bulk_receiver = Some((to.clone(), now));
        true
    }

    /// Sends a message within the byte budget. A message that exceeds the budget is dropped; its
    /// receiver asks another host.
    fn send(
        &mut self,
        to: &HostId,
        message: Message,
        now: Instant,
        actions: &mut Vec<ManifestAction>,
    ) {
        if self.budget.take(wire_len(&message) as f64, now) {
            let to = to.clone();
            actions.push(ManifestAction::Send { to, message });
        }
    }
}
