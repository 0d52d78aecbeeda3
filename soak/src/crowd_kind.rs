//! What the clients of a crowd send.

use std::fmt;
use std::str::FromStr;

/// The largest body that hosts accept, by the default of the manifest.
pub const BODY_MAX: usize = 4 << 20;

/// What the clients of a crowd send, all at once. Most stop just short of the end and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// A body of the largest size but for its last byte, as fast as it is read.
    Whole,
    /// The same in pieces with pauses.
    Pieces,
    /// A body of 63 KB but for its last byte.
    Medium,
    /// A chunked body of almost the largest size, in large chunks, without its end.
    LargeChunks,
    /// A chunked body in chunks of one byte, without its end.
    SmallChunks,
    /// A body whose announced length is far over the limit.
    AnnouncedTooLong,
    /// A chunked body that goes on far beyond the limit.
    SentTooLong,
    /// A head without its end.
    Head,
    /// Nothing.
    Silent,
}

impl CrowdKind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Whole,
        Self::Pieces,
        Self::Medium,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::AnnouncedTooLong,
        Self::SentTooLong,
        Self::Head,
        Self::Silent,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Pieces => "pieces",
            Self::Medium => "medium",
            Self::LargeChunks => "large-chunks",
            Self::SmallChunks => "small-chunks",
            Self::AnnouncedTooLong => "announced-too-long",
            Self::SentTooLong => "sent-too-long",
            Self::Head => "head",
            Self::Silent => "silent",
        }
    }

    /// The length that the head announces; none for a chunked body.
    pub(crate) fn announced_len(self) -> Option<usize> {
        match self {
            Self::Whole | Self::Pieces => Some(BODY_MAX),
            Self::Medium => Some(63_000),
            Self::AnnouncedTooLong => Some(100 * BODY_MAX),
            _ => None,
        }
    }

    /// The bytes of the body that are sent at most.
    pub(crate) fn sent_len(self) -> usize {
        match self {
            Self::Whole | Self::Pieces | Self::LargeChunks => BODY_MAX - 1,
            Self::Medium => 62_999,
            Self::SmallChunks => 64_000,
            Self::AnnouncedTooLong | Self::SentTooLong => 2 * BODY_MAX,
            Self::Head | Self::Silent => 0,
        }
    }

    /// The length of the pieces in which the body is sent: of chunks, if it is chunked.
    pub(crate) fn piece_len(self) -> usize {
        match self {
            Self::Pieces => 16 << 10,
            Self::SmallChunks => 1,
            _ => 64 << 10,
        }
    }
}

impl fmt::Display for CrowdKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for CrowdKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|kind| kind.name() == text);
        found.ok_or_else(|| format!("no kind of crowd: {text}"))
    }
}
