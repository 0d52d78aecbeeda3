//! A loopback proxy in front of one address, which can delay, stall or reset the traffic.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::timeout;

/// How a proxy treats the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Traffic is forwarded.
    #[default]
    Open,
    /// Traffic is forwarded with this delay.
    Delayed(Duration),
    /// Bytes stall in both directions while connections stay open. Datagrams are dropped.
    Stalled,
    /// Bytes to the target and new connections stall; bytes from the target are forwarded.
    /// Datagrams are dropped.
    StalledToTarget,
    /// Existing and new connections are reset. Datagrams are dropped.
    Reset,
    /// New connections are refused. Existing ones are forwarded. Datagrams are dropped.
    RefusesNew,
    /// Existing connections are reset, and new ones are refused. Datagrams are dropped.
    Refuses,
    /// New connections are neither accepted nor refused, and bytes of existing ones stall. Datagrams
    /// are dropped.
    Hangs,
}

impl LinkMode {
    /// Whether existing connections are reset.
    fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::Refuses)
    }
}

/// Number of connections that fill the queue of a listener that accepts none.
const QUEUED_CONNECTIONS: usize = 4;
/// How long one of these connections may take. Those beyond the queue are never established.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(20);

/// A handle to a proxy for TCP connections and for UDP datagrams to the target, on one address.
/// Clones share the mode. Dropping the handle does not stop the proxy.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// The address on which the proxy listens.
    pub addr: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
}

type ModeReceiver = watch::Receiver<LinkMode>;

/// Maximum number of failed attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_RETRIES: u32 = 20;
/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

impl LinkProxy {
    /// Starts a proxy for TCP connections and UDP datagrams on a port of `ip` that is free for
    /// both.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let mut failed_attempts = 0;
        let (listener, socket) = loop {
            let listener = TcpListener::bind((ip, 0)).await?;
            match UdpSocket::bind(listener.local_addr()?).await {
                Ok(socket) => break (listener, socket),
                Err(err) if failed_attempts == MAX_PORT_RETRIES => return Err(err),
                Err(_) => failed_attempts += 1,
            }
        };
        let addr = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(LinkMode::Open));
        tokio::spawn(accept_connections(listener, target, mode.subscribe()));
        tokio::spawn(proxy_datagrams(socket, target, mode.subscribe()));
        Ok(Self { addr, mode })
    }

    /// Changes how the proxy treats existing and new connections and datagrams. Connections
    /// that [`LinkMode::Reset`] has reset stay closed.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_if_modified(|current| {
            let is_change = *current != mode;
            *current = mode;
            is_change
        });
    }
}

/// Accepts connections and forwards each to the target in a task of its own, which also follows
/// later changes of the mode. Ends for good at the first failed accept.
async fn accept_connections(listener: TcpListener, target: SocketAddr, mut mode: ModeReceiver) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        let current = *mode.borrow_and_update();
        if matches!(
            current,
            LinkMode::RefusesNew | LinkMode::Refuses | LinkMode::Hangs
        ) {
            listener = None;
            let _queue = if current == LinkMode::Hangs {
                fill_queue(addr).await
            } else {
                None
            };
            if mode.changed().await.is_err() {
                return;
            }
            continue;
        }
        let listening = match listener.take() {
            Some(listening) => listening,
            None => match TcpListener::bind(addr).await {
                Ok(listening) => listening,
                Err(err) => return println!("soak: cannot listen on {addr} again: {err}"),
            },
        };
        tokio::select! {
            accepted = listening.accept() => match accepted {
                Ok((client, _)) => {
                    tokio::spawn(proxy_connection(client, target, mode.clone()));
                }
                Err(_) => return,
            },
            changed = mode.changed() => if changed.is_err() {
                return;
            },
        }
        listener = Some(listening);
    }
}

/// Listens on an address with a full queue, so that further connections hang until the returned
/// sockets are dropped.
async fn fill_queue(addr: SocketAddr) -> Option<(TcpListener, Vec<TcpStream>)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(addr).ok()?;
    let listener = socket.listen(1).ok()?;
    let mut queued = Vec::new();
    for _ in 0..QUEUED_CONNECTIONS {
        let connected = timeout(QUEUE_TIMEOUT, TcpStream::connect(addr)).await;
        queued.extend(connected.ok().and_then(Result::ok));
    }
    Some((listener, queued))
}

/// Connects to the target and forwards bytes until both directions have ended. Resets both ends if
/// one of them breaks the connection or the mode becomes [`LinkMode::Reset`].
async fn proxy_connection(client: TcpStream, target: SocketAddr, mut mode: ModeReceiver) {
    if mode.borrow().resets() {
        return reset_when_closed(&client);
    }
    // While the link is stalled, the target must not receive new connections.
    let is_open = |mode: &LinkMode| {
        !matches!(
            mode,
            LinkMode::Stalled | LinkMode::StalledToTarget | LinkMode::Hangs
        )
    };
    if mode.wait_for(is_open).await.is_err() {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return reset_when_closed(&client);
    };
    let (_, _) = (client.set_nodelay(true), target_stream.set_nodelay(true));
    // The streams are dropped with the futures that forward, before they could be reset.
    let cloned = [&client, &target_stream].map(|stream| stream.as_fd().try_clone_to_owned());
    let [Ok(client_fd), Ok(target_fd)] = cloned else {
        return;
    };
    // Unlike the halves of `into_split`, these do not shut the connection down when dropped.
    let (client_read, client_write) = tokio::io::split(client);
    let (target_read, target_write) = tokio::io::split(target_stream);
    let to_target = copy_bytes(client_read, target_write, mode.clone(), true);
    let from_target = copy_bytes(target_read, client_write, mode.clone(), false);
    let is_broken = tokio::select! {
        _ = mode.wait_for(|mode| mode.resets()) => true,
        ended = async { tokio::try_join!(to_target, from_target) } => ended.is_err(),
    };
    if is_broken {
        reset_when_closed(&client_fd);
        reset_when_closed(&target_fd);
    }
}

/// Forwards bytes in one direction up to the end of the stream, and then the end itself. Fails if
/// one of the connections breaks.
async fn copy_bytes(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut mode: ModeReceiver,
    is_to_target: bool,
) -> io::Result<()> {
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let is_passing = |mode: &LinkMode| match mode {
            LinkMode::Stalled | LinkMode::Hangs => false,
            LinkMode::StalledToTarget => !is_to_target,
            _ => true,
        };
        let current = match mode.wait_for(is_passing).await {
            Ok(current) => *current,
            Err(_) => return Ok(()),
        };
        if let LinkMode::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if count == 0 {
            // Fails if the other end has closed the connection already.
            let _ = to.shutdown().await;
            return Ok(());
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Forwards datagrams to the target in the modes open and delayed, and drops them in other modes.
async fn proxy_datagrams(socket: UdpSocket, target: SocketAddr, mode: ModeReceiver) {
    let mut buffer = vec![0_u8; 1 << 16];
    let socket = Arc::new(socket);
    while let Ok((count, _)) = socket.recv_from(&mut buffer).await {
        let current = *mode.borrow();
        let delay = match current {
            LinkMode::Open => Duration::ZERO,
            LinkMode::Delayed(delay) => delay,
            _ => continue,
        };
        let (socket, bytes) = (Arc::clone(&socket), buffer[..count].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}

/// Makes a connection send a TCP reset when it is closed, by a linger time of zero.
fn reset_when_closed(stream: &impl AsFd) {
    let linger = nix::libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    if let Err(err) = setsockopt(stream, sockopt::Linger, &linger) {
        println!("soak: cannot set the linger time of a connection: {err}");
    }
}
