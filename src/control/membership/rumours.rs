//! News that is passed on a few times.

use indexmap::IndexMap;

use crate::control::membership::conf::NEWS_MAX;
use crate::peer::message::Gossip;
use crate::peer::message::HostRecord;
use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;

/// More news than this at once is cut off at the oldest; what is lost is found by comparing
/// hashes, or comes again from the platform.
const RUMOURS_MAX: usize = 1_024;

/// What a piece of news is about. A later word about it replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum About {
    Host(String),
    Upstream(String),
    Poison(Vec<u8>),
}

/// A piece of news.
#[derive(Clone, Debug)]
pub(crate) enum News {
    /// A host.
    Host(HostRecord),
    /// An upstream that leaves.
    Leaving(LeavingUpstream),
    /// A request that crashed upstreams.
    Poison(PoisonNotice),
}

impl News {
    fn about(&self) -> About {
        match self {
            Self::Host(record) => About::Host(record.host.clone()),
            Self::Leaving(leaving) => About::Upstream(leaving.upstream.clone()),
            Self::Poison(notice) => About::Poison(notice.content.clone()),
        }
    }
}

/// News that is still passed on, the newest last.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    news: IndexMap<About, (News, usize)>,
}

impl Rumours {
    /// Begins to pass on a piece of news.
    pub(crate) fn add(&mut self, news: News) {
        let about = news.about();
        self.news.shift_remove(&about);
        self.news.insert(about, (news, 0));
        if self.news.len() > RUMOURS_MAX {
            self.news.shift_remove_index(0);
        }
    }

    /// Puts news on a message: what was sent least often first, and of it the newest first. A
    /// piece is dropped after `sends_max` times.
    pub(crate) fn fill(&mut self, gossip: &mut Gossip, sends_max: usize) {
        let mut indices: Vec<usize> = (0..self.news.len()).rev().collect();
        indices.sort_by_key(|index| self.news[*index].1);
        for index in indices.into_iter().take(NEWS_MAX) {
            let (news, sends) = &mut self.news[index];
            *sends += 1;
            match news {
                News::Host(record) => gossip.hosts.push(record.clone()),
                News::Leaving(leaving) => gossip.leaving.push(leaving.clone()),
                News::Poison(notice) => gossip.poison.push(notice.clone()),
            }
        }
        self.news.retain(|_, (_, sends)| *sends < sends_max);
    }
}
