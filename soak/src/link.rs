//! A loopback proxy in front of one address, over which traffic can be disturbed from outside.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What happens to the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It passes.
    #[default]
    Open,
    /// It passes later.
    Delayed(Duration),
    /// It stands still, both ways, and no connection is told so.
    Silent,
    /// What goes to the target stands still; answers pass.
    OneWay,
    /// Connections are reset, old and new ones.
    Reset,
}

/// A proxy for TCP and UDP on one address.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// Where it listens.
    pub(crate) addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

type Watch = watch::Receiver<LinkState>;

/// Ports that are tried until one is free for both protocols.
const PORTS_TRIED: u32 = 20;
/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

impl Link {
    /// Starts a proxy on a free port of `ip`.
    pub(crate) async fn start(ip: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let mut tried = 0;
        let (listener, socket) = loop {
            let listener = TcpListener::bind((ip, 0)).await?;
            match UdpSocket::bind(listener.local_addr()?).await {
                Ok(socket) => break (listener, socket),
                Err(err) if tried == PORTS_TRIED => return Err(err),
                Err(_) => tried += 1,
            }
        };
        let addr = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        tokio::spawn(accept(listener, target, state.subscribe()));
        tokio::spawn(pass_datagrams(socket, target, state.subscribe()));
        Ok(Self { addr, state })
    }

    /// Disturbs it, or no longer.
    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Watch) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(carry(near, target, state.clone()));
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mut state: Watch) {
    if *state.borrow() == LinkState::Reset {
        return reset(&near);
    }
    // A way that stands still lets no connection through, so its target must not see one either.
    let is_open = |state: &LinkState| !matches!(state, LinkState::Silent | LinkState::OneWay);
    if state.wait_for(is_open).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, state.clone(), true);
    let back = pump(far_read, near_write, state.clone(), false);
    let was_reset = tokio::select! {
        _ = state.wait_for(|state| *state == LinkState::Reset) => None,
        halves = async { tokio::join!(there, back) } => Some(halves),
    };
    if let Some(((Some(near_read), Some(far_write)), (Some(far_read), Some(near_write)))) =
        was_reset
    {
        // One end broke off; so must the other see it.
        for stream in [near_read.reunite(near_write), far_read.reunite(far_write)]
            .into_iter()
            .flatten()
        {
            reset(&stream);
        }
    }
}

type Halves = (Option<OwnedReadHalf>, Option<OwnedWriteHalf>);

/// Passes bytes on until the end, and the end as well. Returns both halves if it broke off.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: Watch,
    is_there: bool,
) -> Halves {
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return (Some(from), Some(to));
        };
        let passes = |state: &LinkState| match state {
            LinkState::Silent => false,
            LinkState::OneWay => !is_there,
            _ => true,
        };
        let seen = match state.wait_for(passes).await {
            Ok(seen) => *seen,
            Err(_) => return (None, None),
        };
        if let LinkState::Delayed(delay) = seen {
            tokio::time::sleep(delay).await;
        }
        if count == 0 {
            let _ = to.shutdown().await;
            return (None, None);
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return (Some(from), Some(to));
        }
    }
}

async fn pass_datagrams(socket: UdpSocket, target: SocketAddr, state: Watch) {
    let mut buffer = vec![0_u8; 1 << 16];
    let socket = Arc::new(socket);
    while let Ok((count, _)) = socket.recv_from(&mut buffer).await {
        let seen = *state.borrow();
        let delay = match seen {
            LinkState::Open => Duration::ZERO,
            LinkState::Delayed(delay) => delay,
            _ => continue,
        };
        let (socket, bytes) = (Arc::clone(&socket), buffer[..count].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}

/// Makes the drop of a stream a reset.
#[allow(deprecated)]
fn reset(stream: &TcpStream) {
    let _ = stream.set_linger(Some(Duration::ZERO));
}
