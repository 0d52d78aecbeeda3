//! The codec of envelopes: length-delimited frames with an authentication tag.

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

/// The largest frame, in bytes. The largest message is a batch of manifest parts; the limit keeps a
/// faulty or hostile peer from making this host allocate more.
pub const FRAME_SIZE_MAX: usize = 4 << 20;

/// The bytes that a frame adds to its envelope: the length and the tag.
pub const FRAME_OVERHEAD: usize = LENGTH_LEN + TAG_LEN;

/// The size of the length field of a frame, in bytes.
const LENGTH_LEN: usize = 4;

/// Encodes and decodes the envelopes of a connection whose ends have authenticated each other.
///
/// The name of the sender is not sent with each envelope: the decoder fills in the name that the
/// sender proved in the handshake.
pub struct EnvelopeCodec {
    framing: LengthDelimitedCodec,
    outbound: FrameAuthenticator,
    inbound: FrameAuthenticator,
    peer: String,
}

impl EnvelopeCodec {
    /// A codec for the connection to the host `peer`.
    pub fn new(peer: &str, outbound: FrameAuthenticator, inbound: FrameAuthenticator) -> Self {
        Self {
            framing: framing(FRAME_SIZE_MAX),
            outbound,
            inbound,
            peer: peer.to_owned(),
        }
    }

    /// Verifies the tag of a frame and decodes its envelope.
    fn decode_frame(&mut self, frame: &BytesMut) -> Result<Envelope, FrameError> {
        let (tag, payload) = frame
            .split_at_checked(TAG_LEN)
            .ok_or(FrameError::TooShort)?;
        if !self.inbound.verify(payload, tag) {
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
            Some(frame) => self.decode_frame(&frame).map(Some),
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
        dst.put_slice(&self.outbound.sign(&payload));
        dst.put_slice(&payload);
        Ok(())
    }
}

/// The number of bytes that a message without a call id takes on a connection, not counting the
/// headers of TCP and IP.
pub fn wire_len(message: &Message) -> usize {
    FRAME_OVERHEAD + message.encoded_len()
}

/// A codec of length-delimited frames of at most `size_max` bytes, without the length field. A
/// longer frame is an error.
pub(crate) fn framing(size_max: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_LEN)
        .max_frame_length(size_max)
        .new_codec()
}
