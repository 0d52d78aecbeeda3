//! Fetching one manifest from other hosts.

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

/// A host that answers nothing for this long is dead, or has used up its budget: another is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Parts in one request: about 256 KiB, well inside a frame.
const PARTS_PER_REQUEST_MAX: usize = 256;

/// Where this much is missing, about 64 KiB, the platform is asked.
const PEER_FETCH_PARTS_MAX: usize = 64;

/// How long to wait for the platform before a large manifest is taken from other hosts after all.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// A manifest that is being fetched.
#[derive(Debug)]
pub(crate) struct Fetch {
    /// The least generation wanted.
    pub(crate) generation: Generation,
    /// Who is known to have it, the latest word last.
    holders: IndexSet<HostId>,
    pending_request: Option<(HostId, Instant)>,
    platform_requested_at: Option<Instant>,
    index: Option<Index>,
    parts: IndexMap<ContentHash, String>,
}

#[derive(Debug)]
struct Index {
    generation: Generation,
    hash: ContentHash,
    pages: Vec<ContentHash>,
}

/// What a fetch has come to.
pub(crate) enum FetchStep {
    /// Ask a host.
    Request { to: HostId, message: Message },
    /// Read it from the platform: too much is missing for what hosts may send each other.
    ReadPlatform,
    /// Wait for an answer.
    Wait,
    /// The text is whole.
    Complete {
        generation: Generation,
        text: String,
    },
    /// The parts do not give the text that the index names: begin again.
    HashMismatch,
}

impl Fetch {
    /// Begins to fetch. `have` are the parts of the manifest in force.
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

    pub(crate) fn add_holder(&mut self, host: HostId) {
        self.holders.insert(host);
    }

    /// The parts that it has, for a fetch of a later generation.
    pub(crate) fn into_parts(self) -> IndexMap<ContentHash, String> {
        self.parts
    }

    /// Takes in an index, if it is of a generation that is wanted.
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

    /// Takes in parts and pages. What is not missing is dropped, so that nobody can fill this
    /// memory.
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

    /// What to do now.
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
            // It goes to the end of the line.
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

    /// Pages that are not there, and parts of the pages that are.
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
