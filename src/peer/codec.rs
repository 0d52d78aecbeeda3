//! Envelopes in length-delimited frames with a tag.

use bytes::BufMut;
use bytes::BytesMut;
use prost::Message as _;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::peer::FrameAuthenticator;
use crate::peer::FrameError;
use crate::peer::Message;
use crate::peer::frame_authenticator::TAG_LEN;
use crate::peer::message::Envelope;

/// The largest frame. The largest message is a batch of manifest parts; the bound keeps a broken
/// or hostile peer from making this host reserve more.
pub const FRAME_SIZE_MAX: usize = 4 << 20;

/// What a frame adds to its envelope: the length and the tag.
pub const FRAME_OVERHEAD: usize = LENGTH_LEN + TAG_LEN;

const LENGTH_LEN: usize = 4;

/// Reads and writes envelopes on a connection whose ends have authenticated each other.
///
/// The sender's name is not on the wire: it is that of the handshake, and is filled in here.
pub struct EnvelopeCodec {
    framing: LengthDelimitedCodec,
    sending: FrameAuthenticator,
    receiving: FrameAuthenticator,
    peer: String,
}

impl EnvelopeCodec {
    /// A codec towards the host `peer`.
    pub fn new(peer: &str, sending: FrameAuthenticator, receiving: FrameAuthenticator) -> Self {
        Self {
            framing: framing(FRAME_SIZE_MAX),
            sending,
            receiving,
            peer: peer.to_owned(),
        }
    }

    fn open(&mut self, frame: &BytesMut) -> Result<Envelope, FrameError> {
        let (tag, payload) = frame
            .split_at_checked(TAG_LEN)
            .ok_or(FrameError::TooShort)?;
        if !self.receiving.verify(payload, tag) {
            return Err(FrameError::WrongTag);
        }
        let mut envelope = Envelope::decode(payload)?;
        if !envelope.from.is_empty() && envelope.from != self.peer {
            return Err(FrameError::WrongSender(envelope.from));
        }
        envelope.from.clone_from(&self.peer);
        Ok(envelope)
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
        match self.framing.decode(src)? {
            Some(frame) => self.open(&frame).map(Some),
            None => Ok(None),
        }
    }
}

impl Encoder<Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(&mut self, mut envelope: Envelope, dst: &mut BytesMut) -> Result<(), FrameError> {
        envelope.from.clear();
        let payload_len = envelope.encoded_len();
        if payload_len + TAG_LEN > FRAME_SIZE_MAX {
            return Err(FrameError::TooLarge(payload_len));
        }
        let payload = envelope.encode_to_vec();
        let frame_len = u32::try_from(payload_len + TAG_LEN).unwrap_or(u32::MAX);
        dst.reserve(FRAME_OVERHEAD + payload_len);
        dst.put_u32(frame_len);
        dst.put_slice(&self.sending.sign(&payload));
        dst.put_slice(&payload);
        Ok(())
    }
}

/// How many bytes a message without a call takes on a connection, but for those of TCP and IP.
pub fn wire_len(message: &Message) -> usize {
    FRAME_OVERHEAD + message.encoded_len()
}

/// Length-delimited frames of at most `size_max` bytes.
pub(crate) fn framing(size_max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_LEN)
        .max_frame_length(size_max)
        .new_codec()
}
