//! Fetching one manifest from other hosts in parts.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::control::manifests::parts::hashes_to_bytes;
use crate::control::manifests::parts::page_hashes;
use crate::peer::Message;
use crate::peer::message::IndexRequest;
use crate::peer::message::PartsRequest;
use crate::units::ContentHash;
use crate::units::Generation;
use crate::units::HostId;

/// A host that does not answer within this time is dead or has used up its byte budget, and another
/// host is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Parts in one request: about 256 KiB, well below the size limit of a frame.
const PARTS_PER_REQUEST_MAX: usize = 256;

/// With more missing parts than this, about 64 KiB, the manifest is read from the platform.
const PEER_FETCH_PARTS_MAX: usize = 64;

/// How long to wait for the platform before a large manifest is fetched from other hosts after all.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The fetch of one manifest: its sources, and the parts received so far.
#[derive(Debug)]
pub(crate) struct Fetch {
    /// The lowest generation that completes the fetch.
    pub(crate) generation: Generation,
    /// Hosts known to have the generation, in the order in which they are asked. A host that did
    /// not answer moves to the end.
    holders: IndexSet<HostId>,
    pending_request: Option<(HostId, Instant)>,
    platform_requested_at: Option<Instant>,
    index: Option<Index>,
    parts: IndexMap<ContentHash, String>,
}

/// The list of pages of one generation, as another host sent it.
#[derive(Debug)]
struct Index {
    generation: Generation,
    hash: ContentHash,
    pages: Vec<ContentHash>,
}

/// The next step of a fetch.
pub(crate) enum FetchStep {
    /// Send a request to a host.
    Request { to: HostId, message: Message },
    /// Read the manifest from the platform, because hosts cannot send each other this much.
    ReadPlatform,
    /// Wait for an answer.
    Wait,
    /// All parts are there.
    Complete {
        generation: Generation,
        text: String,
    },
    /// The parts do not add up to the text whose hash the index names. The fetch has to start over.
    HashMismatch,
}

impl Fetch {
    /// Starts a fetch. `known_parts` are the parts of the manifest in force.
    pub(crate) fn new(generation: Generation, known_parts: IndexMap<ContentHash, String>) -> Self {
        Self {
            generation,
            holders: IndexSet::new(),
            pending_request: None,
            platform_requested_at: None,
            index: None,
            parts: known_parts,
        }
    }

    /// Adds a host that has the generation. It is asked after the hosts added earlier.
    pub(crate) fn add_holder(&mut self, host: HostId) {
        self.holders.insert(host);
    }

    /// The parts received so far, for the fetch of a later generation.
    pub(crate) fn into_parts(self) -> IndexMap<ContentHash, String> {
        self.parts
    }

    /// Accepts an index if its generation is at least the requested one and above that of an
    /// earlier index.
    pub(crate) fn on_index(
        &mut self,
        generation: Generation,
        hash: ContentHash,
        pages: Vec<ContentHash>,
    ) {
        let known = self.index.as_ref().map(|index| index.generation);
        if generation < self.generation || known.is_some_and(|known| known >= generation) {
            return;
        }
        self.index = Some(Index {
            generation,
            hash,
            pages,
        });
        self.pending_request = None;
    }

    /// Stores received parts and pages that are missing. Others are dropped, so that peers cannot
    /// fill the memory of this host.
    pub(crate) fn on_parts(&mut self, parts: Vec<String>) {
        let missing = self.missing();
        for part in parts {
            let hash = ContentHash::of(part.as_bytes());
            if missing.contains(&hash) {
                self.parts.insert(hash, part);
            }
        }
        self.pending_request = None;
    }

    /// Returns the next step, and records it: the request that is returned counts as sent, and a
    /// host that did not answer the previous one moves to the end of the order.
    pub(crate) fn step(&mut self, now: Instant) -> FetchStep {
        let missing = self.missing();
        if let Some(index) = &self.index
            && missing.is_empty()
        {
            return self.assemble(index);
        }
        if missing.len() > PEER_FETCH_PARTS_MAX {
            let requested_at = *self.platform_requested_at.get_or_insert(now);
            if requested_at == now {
                return FetchStep::ReadPlatform;
            }
            if now.saturating_duration_since(requested_at) < PLATFORM_TIMEOUT {
                return FetchStep::Wait;
            }
        }
        if let Some((host, requested_at)) = &self.pending_request {
            if now.saturating_duration_since(*requested_at) < ANSWER_TIMEOUT {
                return FetchStep::Wait;
            }
            // The host did not answer in time, so it moves to the end of the order.
            let host = host.clone();
            self.holders.shift_remove(&host);
            self.holders.insert(host);
        }
        let Some(to) = self.holders.first().cloned() else {
            return FetchStep::Wait;
        };
        self.pending_request = Some((to.clone(), now));
        let message = match &self.index {
            None => Message::IndexRequest(IndexRequest {
                generation: self.generation.0,
            }),
            Some(_) => Message::PartsRequest(PartsRequest {
                parts: hashes_to_bytes(missing.iter().take(PARTS_PER_REQUEST_MAX)),
            }),
        };
        FetchStep::Request { to, message }
    }

    /// Hashes of the missing pages, and of the missing parts on the pages that are there.
    fn missing(&self) -> IndexSet<ContentHash> {
        let pages = self.index.iter().flat_map(|index| &index.pages);
        let mut missing = IndexSet::new();
        for page in pages {
            match self.parts.get(page) {
                None => {
                    missing.insert(*page);
                }
                Some(page) => {
                    missing.extend(page_hashes(page).filter(|hash| !self.parts.contains_key(hash)));
                }
            }
        }
        missing
    }

    /// Joins the parts to the text, and checks the hash of the text.
    fn assemble(&self, index: &Index) -> FetchStep {
        let pages = index.pages.iter().filter_map(|hash| self.parts.get(hash));
        let parts = pages.flat_map(|page| page_hashes(page));
        let text: String = parts
            .filter_map(|hash| self.parts.get(&hash).map(String::as_str))
            .collect();
        if ContentHash::of(text.as_bytes()) != index.hash {
            return FetchStep::HashMismatch;
        }
        FetchStep::Complete {
            generation: index.generation,
            text,
        }
    }
}
