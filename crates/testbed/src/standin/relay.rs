//! A TCP relay that emulates network faults: stalls, loss of one direction and connection resets.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The state of the link that a relay emulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded both ways.
    Healthy,
    /// Nothing is forwarded, and connections stay open.
    Stalled,
    /// Only bytes from the client are forwarded.
    HalfOpen,
    /// All open and new connections are reset.
    Reset,
}

/// An emulated network link to one target address.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address of the listener.
    pub addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// Starts a relay in the healthy state.
    ///
    /// # Errors
    ///
    /// The listener can't be bound to the address.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (state, states) = watch::channel(LinkState::Healthy);
        tokio::spawn(accept_connections(listener, target, states));
        Ok(Relay { addr, state: Arc::new(state) })
    }

    /// Changes the state of the link, also for open connections.
    pub fn set(&self, state: LinkState) {
        let _ = self.state.send(state);
    }
}

/// Accepts connections and forwards each one to the target.
async fn accept_connections(listener: TcpListener, target: SocketAddr, states: watch::Receiver<LinkState>) {
    while let Ok((client, _)) = listener.accept().await {
        let _ = client.set_nodelay(true);
        if *states.borrow() == LinkState::Reset {
            // With a linger time of zero, the drop resets the connection.
            let _ = client.set_zero_linger();
            continue;
        }
        let states = states.clone();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                let _ = server.set_nodelay(true);
                forward(client, server, states).await;
            }
        });
    }
}

/// Forwards bytes both ways until either side closes or the link is reset; then resets the connection to
/// the client.
async fn forward(client: TcpStream, server: TcpStream, mut states: watch::Receiver<LinkState>) {
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (mut requests, mut responses) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    loop {
        let state = *states.borrow_and_update();
        let is_open = tokio::select! {
            change = states.changed() => change.is_ok() && *states.borrow() != LinkState::Reset,
            read = from_client.read(&mut requests), if matches!(state, LinkState::Healthy | LinkState::HalfOpen) => {
                match read {
                    Ok(length) if length > 0 => to_server.write_all(&requests[..length]).await.is_ok(),
                    _ => false,
                }
            }
            read = from_server.read(&mut responses), if state == LinkState::Healthy => match read {
                Ok(length) if length > 0 => to_client.write_all(&responses[..length]).await.is_ok(),
                _ => false,
            },
        };
        if !is_open {
            if let Ok(client) = from_client.reunite(to_client) {
                let _ = client.set_zero_linger();
            }
            return;
        }
    }
}
