//! The handshake by which two hosts prove to each other that they hold the same key.
//!
//! The client sends its host name, the id of a key and a fresh nonce. The server replies with its
//! own nonce and an HMAC over the transcript, and the client replies with another HMAC. Both nonces
//! enter the keys of the session, so that a recorded connection can't be replayed.

use std::fmt;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use hmac::Mac;
use hmac::digest::InvalidLength;
use prost::Message;
use rand::RngCore;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::peer::EnvelopeCodec;
use crate::peer::FrameAuthenticator;
use crate::peer::FrameError;
use crate::peer::Keyring;
use crate::peer::codec::framing;
use crate::peer::keyring::hmac_with;
use crate::settings::PeerKey;
use crate::units::HostId;

/// The largest frame of a handshake, in bytes. It bounds what an unauthenticated client can make
/// this host read.
const HANDSHAKE_FRAME_SIZE_MAX: usize = 1 << 10;
/// The length of a nonce, in bytes.
const NONCE_LEN: usize = 32;
/// The version of the protocol. Both ends must have the same one.
const PROTOCOL_VERSION: u32 = 1;

/// A connection whose ends have authenticated each other.
pub(crate) type PeerStream = Framed<TcpStream, EnvelopeCodec>;

type HandshakeStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a handshake failed.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    /// The connection broke, or a frame was not a message of the handshake.
    Frame(FrameError),
    /// The server refused the handshake, for the given reason.
    Refused(String),
    /// The other end has another name than expected, did not prove that it holds the key, or named
    /// a key or a protocol version that this host does not accept.
    NotAuthenticated(String),
    /// The settings hold no key.
    NoKey,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame(error) => write!(f, "handshake failed: {error}"),
            Self::Refused(why) => write!(f, "handshake refused: {why}"),
            Self::NotAuthenticated(why) => write!(f, "peer not authenticated: {why}"),
            Self::NoKey => f.write_str("no peer key in the settings"),
        }
    }
}

impl<E: Into<FrameError>> From<E> for HandshakeError {
    fn from(error: E) -> Self {
        Self::Frame(error.into())
    }
}

impl From<InvalidLength> for FrameError {
    fn from(_: InvalidLength) -> Self {
        Self::Unexpected("key length")
    }
}

/// The first message of the client.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Hello {
    #[prost(uint32, tag = "1")]
    protocol: u32,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(string, tag = "3")]
    key_id: String,
    #[prost(bytes = "vec", tag = "4")]
    nonce: Vec<u8>,
}

/// The reply of the server to a [`Hello`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Challenge {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(bytes = "vec", tag = "2")]
    nonce: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    proof: Vec<u8>,
    /// Why the server refuses the handshake; empty if the server accepts.
    #[prost(string, tag = "4")]
    refusal: String,
}

/// The second message of the client, which ends the handshake.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Proof {
    #[prost(bytes = "vec", tag = "1")]
    proof: Vec<u8>,
}

/// The contents of a handshake without the proofs, and the key that both ends share.
/// Each proof and each session key is an HMAC over the transcript and a purpose of its own.
struct Transcript<'a> {
    key: &'a PeerKey,
    hello: &'a Hello,
    server: &'a str,
    server_nonce: &'a [u8],
}

impl Transcript<'_> {
    /// An HMAC over the purpose and the transcript. The length of each part comes before the part,
    /// so that no two transcripts have the same input.
    fn mac(&self, purpose: &str) -> Result<hmac::Hmac<sha2::Sha256>, InvalidLength> {
        let mut mac = hmac_with(self.key.secret.as_bytes())?;
        let hello = self.hello.encode_to_vec();
        for part in [
            purpose.as_bytes(),
            &hello,
            self.server.as_bytes(),
            self.server_nonce,
        ] {
            mac.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
            mac.update(part);
        }
        Ok(mac)
    }

    /// The HMAC of the transcript for a purpose, as bytes.
    fn proof(&self, purpose: &str) -> Result<Vec<u8>, InvalidLength> {
        Ok(self.mac(purpose)?.finalize().into_bytes().to_vec())
    }

    /// Verifies a proof in constant time.
    fn verify(&self, purpose: &str, proof: &[u8]) -> Result<(), HandshakeError> {
        let mac = self.mac(purpose)?;
        mac.verify_slice(proof)
            .map_err(|_| HandshakeError::NotAuthenticated("wrong proof of the key".to_owned()))
    }

    /// The authenticator of the frames of one direction.
    fn frame_authenticator(&self, purpose: &str) -> Result<FrameAuthenticator, InvalidLength> {
        FrameAuthenticator::new(&self.proof(purpose)?)
    }
}

/// Authenticates a connection that this host opened to `server`.
pub(crate) async fn connect(
    stream: TcpStream,
    host: &HostId,
    server: &HostId,
    keys: &Keyring,
    rng: &mut StdRng,
) -> Result<PeerStream, HandshakeError> {
    let key = keys.signing().ok_or(HandshakeError::NoKey)?;
    let mut stream = Framed::new(stream, framing(HANDSHAKE_FRAME_SIZE_MAX));
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        host: host.to_string(),
        key_id: key.id.clone(),
        nonce: random_nonce(rng),
    };
    write_message(&mut stream, &hello).await?;
    let challenge: Challenge = read_message(&mut stream).await?;
    if !challenge.refusal.is_empty() {
        return Err(HandshakeError::Refused(challenge.refusal));
    }
    if challenge.host != server.as_str() {
        let why = format!("the address of {server} belongs to {}", challenge.host);
        return Err(HandshakeError::NotAuthenticated(why));
    }
    let transcript = Transcript {
        key,
        hello: &hello,
        server: &challenge.host,
        server_nonce: &challenge.nonce,
    };
    transcript.verify("server", &challenge.proof)?;
    let proof = transcript.proof("client")?;
    write_message(&mut stream, &Proof { proof }).await?;
    let codec = EnvelopeCodec::new(
        server.as_str(),
        transcript.frame_authenticator("to server")?,
        transcript.frame_authenticator("to client")?,
    );
    Ok(stream.map_codec(|_| codec))
}

/// Authenticates a connection that another host opened, and returns the name of that host.
pub(crate) async fn accept(
    stream: TcpStream,
    host: &HostId,
    keys: &Keyring,
    rng: &mut StdRng,
) -> Result<(HostId, PeerStream), HandshakeError> {
    let mut stream = Framed::new(stream, framing(HANDSHAKE_FRAME_SIZE_MAX));
    let hello: Hello = read_message(&mut stream).await?;
    let Some(key) = accepted_key(&hello, keys) else {
        let refusal = format!("protocol {} with key `{}`", hello.protocol, hello.key_id);
        let challenge = Challenge {
            refusal: refusal.clone(),
            ..Challenge::default()
        };
        write_message(&mut stream, &challenge).await?;
        return Err(HandshakeError::NotAuthenticated(refusal));
    };
    let client: HostId = hello
        .host
        .parse()
        .map_err(|error| HandshakeError::NotAuthenticated(format!("{error}")))?;
    let server_nonce = random_nonce(rng);
    let transcript = Transcript {
        key,
        hello: &hello,
        server: host.as_str(),
        server_nonce: &server_nonce,
    };
    let challenge = Challenge {
        host: host.to_string(),
        nonce: server_nonce.clone(),
        proof: transcript.proof("server")?,
        refusal: String::new(),
    };
    write_message(&mut stream, &challenge).await?;
    let reply: Proof = read_message(&mut stream).await?;
    transcript.verify("client", &reply.proof)?;
    let codec = EnvelopeCodec::new(
        client.as_str(),
        transcript.frame_authenticator("to client")?,
        transcript.frame_authenticator("to server")?,
    );
    Ok((client, stream.map_codec(|_| codec)))
}

/// The key that a client names, if the hello is well-formed and this host accepts the key.
fn accepted_key<'a>(hello: &Hello, keys: &'a Keyring) -> Option<&'a PeerKey> {
    let is_well_formed = hello.protocol == PROTOCOL_VERSION && hello.nonce.len() == NONCE_LEN;
    is_well_formed.then(|| keys.find(&hello.key_id)).flatten()
}

fn random_nonce(rng: &mut StdRng) -> Vec<u8> {
    let mut nonce = vec![0; NONCE_LEN];
    rng.fill_bytes(&mut nonce);
    nonce
}

/// Sends a message of the handshake.
async fn write_message(
    stream: &mut HandshakeStream,
    message: &impl Message,
) -> Result<(), HandshakeError> {
    Ok(stream.send(Bytes::from(message.encode_to_vec())).await?)
}

/// Receives a message of the handshake. Fails if the connection ends or the frame can't be decoded.
async fn read_message<M: Message + Default>(
    stream: &mut HandshakeStream,
) -> Result<M, HandshakeError> {
    let frame = stream
        .next()
        .await
        .ok_or(FrameError::Unexpected("end of the connection"))??;
    Ok(M::decode(frame)?)
}
