//! The codec of the exchange: one message per datagram.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message as _;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::exchange::ExchangeError;
use crate::exchange::HostUpdate;

/// The largest UDP payload over IPv4, in bytes.
const DATAGRAM_LEN_MAX: usize = 65_507;

/// Encodes and decodes messages as whole datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateCodec;

impl Decoder for UpdateCodec {
    type Item = HostUpdate;
    type Error = ExchangeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HostUpdate>, ExchangeError> {
        if src.is_empty() {
            return Ok(None);
        }
        // Consumes the whole datagram even if it cannot be decoded. Leftover bytes would be read as
        // the beginning of the next datagram.
        Ok(Some(HostUpdate::decode(src.split())?))
    }
}

/// Writes a message that has already been encoded.
impl Encoder<Bytes> for UpdateCodec {
    type Error = ExchangeError;

    fn encode(&mut self, message: Bytes, dst: &mut BytesMut) -> Result<(), ExchangeError> {
        if message.len() > DATAGRAM_LEN_MAX {
            return Err(ExchangeError::TooLong(message.len()));
        }
        dst.extend_from_slice(&message);
        Ok(())
    }
}
