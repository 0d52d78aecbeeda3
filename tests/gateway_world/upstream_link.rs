//! A link from one host to one upstream that can be cut.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// What happens to new connections over a cut link.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// They are refused.
    Refused,
    /// They are neither accepted nor refused.
    Hanging,
}

/// A link that is cut from the start.
pub struct UpstreamLink {
    /// The address at which the host reaches the upstream over this link.
    pub addr: SocketAddr,
    /// Connections that fill the queue of a listener that accepts none.
    _queued: JoinSet<()>,
}

impl UpstreamLink {
    pub async fn cut(cut: Cut) -> Self {
        // Each link has an IP address of its own, so that nothing else is bound to its port.
        static LINKS: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = std::process::id().to_be_bytes();
        let number = LINKS.fetch_add(1, Ordering::Relaxed);
        let ip = IpAddr::V4(Ipv4Addr::new(127, high | 1, low, number));
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::new(ip, 0)).unwrap();
        let addr = socket.local_addr().unwrap();
        let mut queued = JoinSet::new();
        if let Cut::Hanging = cut {
            let listener = socket.listen(1).unwrap();
            for _ in 0..4 {
                queued.spawn(async move {
                    let _connection = TcpStream::connect(addr).await;
                    std::future::pending::<()>().await;
                });
            }
            queued.spawn(async move {
                let _listener = listener;
                std::future::pending::<()>().await;
            });
        }
        Self {
            addr,
            _queued: queued,
        }
    }

    /// Opens a link whose connections were refused: from now on they lead to `target`.
    pub async fn open(&self, target: SocketAddr) {
        let listener = TcpListener::bind(self.addr).await.unwrap();
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut far = TcpStream::connect(target).await.unwrap();
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                });
            }
        });
    }
}
